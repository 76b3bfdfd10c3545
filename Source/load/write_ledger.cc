// Records writes by block and compares them with the rows in the databases.

#include "Source/load/write_ledger.h"

#include <algorithm>
#include <set>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace heatherwick {

std::string LoadWrite::Name() const {
  return absl::StrCat(session, ".", number);
}

std::string LogRow(const WriteBlock& block) {
  return absl::StrCat("log:", block.session, ":", block.block);
}

std::string OnceRow(const std::string& write_name) {
  return absl::StrCat("once:", write_name);
}

WriteBlock WriteLedger::BlockOf(const LoadWrite& write) {
  return {write.group, write.session, write.number / kWritesInBlock};
}

LoadWrite WriteLedger::Begin(uint64_t session,
                             const std::string& group,
                             const std::string& caller) {
  const absl::MutexLock lock(&m_mutex);
  LoadWrite write;
  write.session = session;
  write.number = m_last_number[session]++;
  write.group = group;
  write.caller = caller;
  m_blocks[BlockOf(write)].push_back(write);
  return write;
}

void WriteLedger::Settle(const LoadWrite& write,
                         WriteState state,
                         absl::Time now) {
  const absl::MutexLock lock(&m_mutex);
  for (LoadWrite& other : m_blocks[BlockOf(write)]) {
    if (other.number == write.number) {
      other.state = state;
      other.acknowledged_at =
          state == WriteState::kDone ? now : absl::InfiniteFuture();
    }
  }
}

std::optional<WriteBlock> WriteLedger::LastBlock(
    uint64_t session,
    const std::string& group) const {
  const absl::MutexLock lock(&m_mutex);
  auto after = m_blocks.upper_bound({group, session, UINT64_MAX});
  if (after == m_blocks.begin()) {
    return std::nullopt;
  }
  const WriteBlock& block = std::prev(after)->first;
  if (block.group != group || block.session != session) {
    return std::nullopt;
  }
  return block;
}

std::vector<std::string> WriteLedger::AcknowledgedUntil(const WriteBlock& block,
                                                        absl::Time time) const {
  const absl::MutexLock lock(&m_mutex);
  std::vector<std::string> names;
  const auto found = m_blocks.find(block);
  if (found != m_blocks.end()) {
    for (const LoadWrite& write : found->second) {
      if (write.acknowledged_at <= time) {
        names.push_back(write.Name());
      }
    }
  }
  return names;
}

std::vector<LoadWrite> WriteLedger::UnknownWrites() const {
  const absl::MutexLock lock(&m_mutex);
  std::vector<LoadWrite> unknown;
  for (const auto& entry : m_blocks) {
    for (const LoadWrite& write : entry.second) {
      if (write.state == WriteState::kUnknown) {
        unknown.push_back(write);
      }
    }
  }
  return unknown;
}

std::map<WriteBlock, std::vector<LoadWrite>> WriteLedger::AllBlocks() const {
  const absl::MutexLock lock(&m_mutex);
  return m_blocks;
}

std::optional<std::string> WriteLedger::CheckLogRow(
    const WriteBlock& block,
    const std::string& content,
    const std::vector<std::string>& required) {
  std::set<std::string> present;
  const std::string own = absl::StrCat(block.session, ".");
  const std::vector<std::string> names =
      absl::StrSplit(content, ',', absl::SkipEmpty());
  for (const std::string& name : names) {
    if (name.compare(0, own.size(), own) != 0) {
      return absl::StrCat("row ", LogRow(block), " of ", block.group,
                          " contains an entry that is not of its session: '",
                          name, "'");
    }
    if (!present.insert(name).second) {
      return absl::StrCat("write ", name, " of ", block.group, " ran twice");
    }
  }
  for (const std::string& name : required) {
    if (present.count(name) == 0) {
      return absl::StrCat("row ", LogRow(block), " of ", block.group,
                          " does not contain the acknowledged write ", name);
    }
  }
  return std::nullopt;
}

std::vector<std::string> WriteLedger::CheckFinalRows(
    const WriteBlock& block,
    const std::vector<LoadWrite>& writes,
    const std::string& log,
    const std::vector<std::string>& once) {
  std::vector<std::string> faults;
  const auto log_fault = CheckLogRow(block, log, {});
  if (log_fault.has_value()) {
    faults.push_back(*log_fault);
  }
  const std::set<std::string> logged = absl::StrSplit(log, ',');
  for (size_t i = 0; i < writes.size(); ++i) {
    const bool done = writes[i].state == WriteState::kDone;
    const bool in_log = logged.count(writes[i].Name()) > 0;
    if (writes[i].state == WriteState::kUnknown) {
      faults.push_back(
          absl::StrCat("write ", writes[i].Name(), " was never settled"));
    } else if (once[i] != (done ? "1" : "") || in_log != done) {
      faults.push_back(absl::StrCat(
          "write ", writes[i].Name(), " of ", block.group, " was reported as ",
          done ? "done" : "not run", " but its count is '", once[i],
          "' and it is ", in_log ? "" : "not ", "in its log row"));
    }
  }
  return faults;
}

}  // namespace heatherwick
