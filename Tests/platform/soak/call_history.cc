// The checks, after the run.

#include "Tests/platform/soak/call_history.h"

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
  size_t order = 0;  // Of the last commit, from 1.
};

std::map<Key, WriteFate> FatesOf(const std::vector<StandInCommit>& commits) {
  std::map<Key, WriteFate> fates;
  size_t order = 0;
  for (const StandInCommit& commit : commits) {
    WriteFate& fate =
        fates[{commit.item, CallHistory::NumberOfValue(commit.value)}];
    ++fate.commits;
    fate.deposed += commit.deposed ? 1 : 0;
    fate.lost |= commit.lost;
    fate.order = ++order;
  }
  return fates;
}

// True when a write with a higher number was committed before `order`. The
// writer sends a write only after the answer of the one before.
bool LaterWriteBefore(const std::map<Key, WriteFate>& fates,
                      const WriteRecord& write,
                      size_t order) {
  for (auto next = fates.upper_bound({write.item, write.number});
       next != fates.end() && next->first.first == write.item; ++next) {
    if (next->second.order < order) {
      return true;
    }
  }
  return false;
}

struct KeptWrite {
  uint64_t number = 0;
  size_t order = 0;
  absl::Time answered;
};

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
  std::map<std::string, std::vector<KeptWrite>> kept;  // By item.
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
    } else if (LaterWriteBefore(fates, write, fate.order)) {
      broken.push_back(absl::StrCat(name, " ran after a later one"));
    } else if (!fate.lost) {
      kept[write.item].push_back({write.number, fate.order, write.answered});
    }
  }
  for (const ReadRecord& read : m_reads) {
    // A write without an answer may run after later ones, so that the order
    // of the commits counts and not that of the numbers.
    KeptWrite required;
    for (const KeptWrite& write : kept[read.item]) {
      const bool own =
          write.answered >= read.session_began && write.answered < read.started;
      if (write.order > required.order &&
          (own || write.answered < read.started - read.allowed_age)) {
        required = write;
      }
    }
    const auto seen = fates.find({read.item, read.number});
    const size_t order = seen == fates.end() ? 0 : seen->second.order;
    if (order < required.order) {
      broken.push_back(absl::StrCat(
          "a read of ", read.item, " gave ", read.number, " and had to see ",
          required.number, ", done ",
          absl::ToInt64Milliseconds(read.started - required.answered),
          " ms before"));
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

std::string CallHistory::Summary(
    const std::vector<StandInCommit>& commits) const {
  absl::MutexLock lock(&m_mutex);
  const std::map<Key, WriteFate> fates = FatesOf(commits);
  size_t outcomes[3] = {};
  size_t late = 0;  // Unanswered writes that ran after a later one.
  for (const WriteRecord& write : m_writes) {
    ++outcomes[static_cast<size_t>(write.outcome)];
    const auto fate = fates.find({write.item, write.number});
    late += write.outcome == WriteOutcome::kUnknown && fate != fates.end() &&
                    LaterWriteBefore(fates, write, fate->second.order)
                ? 1
                : 0;
  }
  return absl::StrCat(
      "writes_done=", outcomes[0], " writes_not_run=", outcomes[1],
      " writes_unknown=", outcomes[2], " ran_late=", late,
      " reads=", m_reads.size(), " promotions=", m_tokens.size());
}

}  // namespace heatherwick::platform
