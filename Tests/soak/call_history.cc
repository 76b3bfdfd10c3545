// The checks, after the run.

#include "Tests/soak/call_history.h"

#include <algorithm>
#include <map>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace heatherwick::platform {
namespace {

using Key = std::pair<std::string, uint64_t>;  // Item and number.

struct WriteFate {
  size_t commits = 0;
  size_t deposed = 0;
  bool lost = false;
};

std::map<Key, WriteFate> FatesOf(const std::vector<StandInCommit>& commits) {
  std::map<Key, WriteFate> fates;
  for (const StandInCommit& commit : commits) {
    WriteFate& fate =
        fates[{commit.item, CallHistory::NumberOfValue(commit.value)}];
    ++fate.commits;
    fate.deposed += commit.deposed ? 1 : 0;
    fate.lost |= commit.lost;
  }
  return fates;
}

}  // namespace

std::string CallHistory::ValueOfNumber(uint64_t number) {
  return absl::StrCat("v", number);
}

uint64_t CallHistory::NumberOfValue(const std::string& value) {
  uint64_t number = 0;
  (void)absl::SimpleAtoi(value.empty() ? value : value.substr(1), &number);
  return number;
}

void CallHistory::AddWrite(WriteRecord record) {
  absl::MutexLock lock(&m_mutex);
  m_writes.push_back(std::move(record));
}

void CallHistory::AddRead(ReadRecord record) {
  absl::MutexLock lock(&m_mutex);
  m_reads.push_back(std::move(record));
}

void CallHistory::AddToken(TokenRecord record) {
  absl::MutexLock lock(&m_mutex);
  m_tokens.push_back(std::move(record));
}

std::vector<std::string> CallHistory::Check(
    const std::vector<StandInCommit>& commits) const {
  absl::MutexLock lock(&m_mutex);
  std::vector<std::string> broken;
  const std::map<Key, WriteFate> fates = FatesOf(commits);
  std::map<std::string, std::vector<WriteRecord>> kept;  // By item, in order.
  for (const WriteRecord& write : m_writes) {
    const auto found = fates.find({write.item, write.number});
    const WriteFate fate = found == fates.end() ? WriteFate() : found->second;
    const std::string name =
        absl::StrCat("write ", write.number, " of ", write.item);
    if (fate.commits > 1) {
      broken.push_back(absl::StrCat(name, " took effect twice"));
    }
    if (write.outcome == WriteOutcome::kNotRun && fate.commits > 0) {
      broken.push_back(absl::StrCat(name, " was told not run and is kept"));
    }
    if (write.outcome != WriteOutcome::kDone) {
      continue;
    }
    if (fate.commits == 0) {
      broken.push_back(absl::StrCat(name, " was told done and never ran"));
    } else if (fate.deposed > 0) {
      broken.push_back(
          absl::StrCat(name, " was told done by a replaced primary"));
    } else if (!fate.lost) {
      kept[write.item].push_back(write);
    }
  }
  for (const ReadRecord& read : m_reads) {
    uint64_t required = 0;
    for (const WriteRecord& write : kept[read.item]) {
      const bool own =
          write.answered >= read.session_began && write.answered < read.started;
      if (own || write.answered < read.started - read.allowed_age) {
        required = std::max(required, write.number);
      }
    }
    if (read.number < required) {
      broken.push_back(absl::StrCat("a read of ", read.item, " gave ",
                                    read.number, " and had to see ", required));
    }
  }
  for (size_t index = 1; index < m_tokens.size(); ++index) {
    const TokenRecord& before = m_tokens[index - 1];
    const TokenRecord& after = m_tokens[index];
    if (after.token < before.token ||
        (after.token == before.token && after.holder != before.holder)) {
      broken.push_back(absl::StrCat("token ", after.token, " of ", after.holder,
                                    " followed ", before.token, " of ",
                                    before.holder));
    }
  }
  return broken;
}

std::string CallHistory::Summary() const {
  absl::MutexLock lock(&m_mutex);
  size_t outcomes[3] = {};
  for (const WriteRecord& write : m_writes) {
    ++outcomes[static_cast<size_t>(write.outcome)];
  }
  return absl::StrCat(
      "writes_done=", outcomes[0], " writes_not_run=", outcomes[1],
      " writes_unknown=", outcomes[2], " reads=", m_reads.size(),
      " promotions=", m_tokens.size());
}

}  // namespace heatherwick::platform
