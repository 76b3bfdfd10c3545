// Checks the recorded statements against the commits of the databases.

#include "Tests/platform/soak/call_history.h"

#include <algorithm>
#include <map>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace heatherwick::platform {
namespace {

using WriteId = std::pair<std::string, uint64_t>;  // Item and number.

// What the databases did with one write.
struct CommittedWrite {
  size_t commits = 0;
  size_t deposed = 0;  // Commits made by a primary that had been replaced.
  // True when a promoted database had not received one of the commits.
  bool lost_in_promotion = false;
  size_t commit_order = 0;  // Place of the last commit, counted from 1.
};

std::map<WriteId, CommittedWrite> CommittedWritesOf(
    const std::vector<FakeCommit>& commits) {
  std::map<WriteId, CommittedWrite> committed_writes;
  size_t commit_order = 0;
  for (const FakeCommit& commit : commits) {
    CommittedWrite& committed =
        committed_writes[{commit.item, CallHistory::ParseValue(commit.value)}];
    ++committed.commits;
    committed.deposed += commit.deposed ? 1 : 0;
    committed.lost_in_promotion |= commit.lost;
    committed.commit_order = ++commit_order;
  }
  return committed_writes;
}

// True when a write to the same item with a higher number was committed before
// `commit_order`. The writer of an item sends each write only after it has the
// answer to the previous write or has given up on it.
bool LaterWriteCommittedBefore(
    const std::map<WriteId, CommittedWrite>& committed_writes,
    const WriteRecord& write,
    size_t commit_order) {
  for (auto next = committed_writes.upper_bound({write.item, write.number});
       next != committed_writes.end() && next->first.first == write.item;
       ++next) {
    if (next->second.commit_order < commit_order) {
      return true;
    }
  }
  return false;
}

// A write that was acknowledged and that no promotion discarded.
struct DurableWrite {
  uint64_t number = 0;
  size_t commit_order = 0;
  absl::Time reply_time;
};

}  // namespace

std::string CallHistory::FormatValue(uint64_t number) {
  return absl::StrCat("v", number);
}

uint64_t CallHistory::ParseValue(const std::string& value) {
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

void CallHistory::AddPromotion(PromotionRecord record) {
  absl::MutexLock lock(&m_mutex);
  m_promotions.push_back(std::move(record));
}

void CallHistory::AddSent(StatementRecord statement) {
  absl::MutexLock lock(&m_mutex);
  m_sent.push_back(std::move(statement));
}

std::vector<std::string> CallHistory::CheckRuns(
    const std::vector<FakeCommit>& commits,
    const std::vector<FakeRun>& runs) const {
  absl::MutexLock lock(&m_mutex);
  std::map<WriteId, absl::Time> acknowledged;
  for (const WriteRecord& write : m_writes) {
    if (write.outcome == WriteOutcome::kDone) {
      acknowledged[{write.item, write.number}] = write.reply_time;
    }
  }
  std::map<std::string, const StatementRecord*> sent;
  for (const StatementRecord& statement : m_sent) {
    sent[statement.id] = &statement;
  }
  std::vector<std::string> violations;
  for (const FakeRun& run : runs) {
    const auto statement = sent.find(run.id);
    if (statement == sent.end()) {
      continue;  // Of the instances themselves.
    }
    const absl::Duration max_staleness =
        run.writes ? absl::ZeroDuration() : statement->second->max_staleness;
    for (const size_t place : run.absent) {
      const FakeCommit& commit = commits[place];
      const auto reply =
          acknowledged.find({commit.item, ParseValue(commit.value)});
      if (commit.lost || reply == acknowledged.end() ||
          reply->second >= statement->second->first_byte - max_staleness) {
        continue;
      }
      violations.push_back(absl::StrCat(
          run.writes ? "write " : "read ", run.id, " ran at ", run.database,
          " in term ", run.term, " on a log that lacked ", commit.value, " of ",
          commit.item, " (", commit.term, ".", commit.number,
          "), which was done ",
          absl::ToInt64Milliseconds(statement->second->first_byte -
                                    reply->second),
          " ms before"));
      break;
    }
  }
  return violations;
}

std::vector<std::string> CallHistory::Check(
    const std::vector<FakeCommit>& commits) const {
  absl::MutexLock lock(&m_mutex);
  std::vector<std::string> violations;
  const std::map<WriteId, CommittedWrite> committed_writes =
      CommittedWritesOf(commits);
  std::map<std::string, std::vector<DurableWrite>> durable;  // By item.
  for (const WriteRecord& write : m_writes) {
    const auto found = committed_writes.find({write.item, write.number});
    const CommittedWrite committed =
        found == committed_writes.end() ? CommittedWrite() : found->second;
    const std::string name =
        absl::StrCat("write ", write.number, " of ", write.item);
    if (committed.commits > 1) {
      violations.push_back(absl::StrCat(name, " took effect twice"));
    }
    if (write.outcome == WriteOutcome::kNotRun && committed.commits > 0) {
      violations.push_back(
          absl::StrCat(name, " was reported as not run but is committed"));
    }
    if (write.outcome != WriteOutcome::kDone) {
      continue;
    }
    if (committed.commits == 0) {
      violations.push_back(
          absl::StrCat(name, " was reported as done but never ran"));
    } else if (committed.deposed > 0) {
      violations.push_back(
          absl::StrCat(name, " was reported as done by a replaced primary"));
    } else if (LaterWriteCommittedBefore(committed_writes, write,
                                         committed.commit_order)) {
      violations.push_back(absl::StrCat(name, " ran after a later write"));
    } else if (!committed.lost_in_promotion) {
      durable[write.item].push_back(
          {write.number, committed.commit_order, write.reply_time});
    }
  }
  for (const ReadRecord& read : m_reads) {
    // A write without an answer may run after later writes. Therefore the order
    // of the commits counts, not the order of the numbers.
    DurableWrite newest_required;
    for (const DurableWrite& write : durable[read.item]) {
      const bool own_write = write.reply_time >= read.session_start &&
                             write.reply_time < read.start_time;
      if (write.commit_order > newest_required.commit_order &&
          (own_write ||
           write.reply_time < read.start_time - read.max_staleness)) {
        newest_required = write;
      }
    }
    const auto found_read = committed_writes.find({read.item, read.number});
    const size_t commit_order = found_read == committed_writes.end()
                                    ? 0
                                    : found_read->second.commit_order;
    if (commit_order < newest_required.commit_order) {
      violations.push_back(
          absl::StrCat("a read of ", read.item, " returned ", read.number,
                       " but had to see at least ", newest_required.number,
                       ", which was done ",
                       absl::ToInt64Milliseconds(read.start_time -
                                                 newest_required.reply_time),
                       " ms before the read"));
    }
  }
  for (size_t index = 1; index < m_promotions.size(); ++index) {
    const PromotionRecord& previous = m_promotions[index - 1];
    const PromotionRecord& current = m_promotions[index];
    if (current.fencing_token < previous.fencing_token ||
        (current.fencing_token == previous.fencing_token &&
         current.holder != previous.holder)) {
      violations.push_back(absl::StrCat(
          "token ", current.fencing_token, " of ", current.holder, " followed ",
          previous.fencing_token, " of ", previous.holder));
    }
  }
  return violations;
}

std::vector<std::string> CallHistory::CheckSynchronous(
    const std::vector<FakeCommit>& commits) const {
  absl::MutexLock lock(&m_mutex);
  std::vector<std::string> violations;
  const std::map<WriteId, CommittedWrite> committed_writes =
      CommittedWritesOf(commits);
  for (const WriteRecord& write : m_writes) {
    const auto found = committed_writes.find({write.item, write.number});
    if (write.outcome == WriteOutcome::kDone &&
        found != committed_writes.end() && found->second.lost_in_promotion) {
      violations.push_back(
          absl::StrCat("write ", write.number, " of ", write.item,
                       " was reported as done and lost in a promotion"));
    }
  }
  return violations;
}

std::vector<absl::Duration> CallHistory::TimesToNextWrite(
    absl::Time event,
    const std::vector<std::string>& items) const {
  absl::MutexLock lock(&m_mutex);
  std::vector<absl::Duration> times(items.size(), absl::InfiniteDuration());
  for (const WriteRecord& write : m_writes) {
    const auto item = std::find(items.begin(), items.end(), write.item);
    if (item != items.end() && write.outcome == WriteOutcome::kDone &&
        write.reply_time > event) {
      absl::Duration& time = times[static_cast<size_t>(item - items.begin())];
      time = std::min(time, write.reply_time - event);
    }
  }
  return times;
}

std::string CallHistory::Summary(const std::vector<FakeCommit>& commits) const {
  absl::MutexLock lock(&m_mutex);
  const std::map<WriteId, CommittedWrite> committed_writes =
      CommittedWritesOf(commits);
  size_t outcomes[3] = {};
  size_t ran_late = 0;  // Unanswered writes that ran after a later write.
  for (const WriteRecord& write : m_writes) {
    ++outcomes[static_cast<size_t>(write.outcome)];
    const auto committed = committed_writes.find({write.item, write.number});
    ran_late +=
        write.outcome == WriteOutcome::kUnknown &&
                committed != committed_writes.end() &&
                LaterWriteCommittedBefore(committed_writes, write,
                                          committed->second.commit_order)
            ? 1
            : 0;
  }
  return absl::StrCat(
      "writes_done=", outcomes[0], " writes_not_run=", outcomes[1],
      " writes_unknown=", outcomes[2], " ran_late=", ran_late,
      " reads=", m_reads.size(), " promotions=", m_promotions.size());
}

}  // namespace heatherwick::platform
