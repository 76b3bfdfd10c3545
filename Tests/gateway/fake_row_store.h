// An in-memory fake of the platform's row store. Each instance uses its own
// client, and each client can simulate outages, lost answers and transactions
// that are applied late.

#ifndef TESTS_GATEWAY_FAKE_ROW_STORE_H_
#define TESTS_GATEWAY_FAKE_ROW_STORE_H_

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Source/gateway/row_store.h"
#include "Source/gateway/store_version.h"
#include "Tests/gateway/virtual_loop.h"

namespace heatherwick {

inline constexpr absl::Duration kStoreLatency = absl::Milliseconds(4);

// The rows of one table, which all clients share. A copy of this object is what
// the store can return to.
class FakeTable {
 public:
  // Rises by one whenever the store returns from an older copy.
  uint64_t era = 0;
  uint64_t version = 1;
  std::map<std::string, StoredRow> rows;  // Includes deleted rows.

  void ReturnTo(const FakeTable& copy) {
    const uint64_t next_era = era + 1;
    *this = copy;
    era = next_era;
  }

  // Conditions compare the plain numbers, as the store knows no other versions.
  Result<uint64_t> Apply(const RowTransaction& transaction) {
    for (const StoredRow& row : transaction.expected) {
      const auto found = rows.find(row.key);
      const uint64_t actual = found == rows.end() || found->second.deleted
                                  ? 0
                                  : found->second.version;
      if (actual != VersionNumber(row.version)) {
        return Error{ErrorKind::kConflict, "the row has another version", ""};
      }
    }
    ++version;
    for (const StoredRow& row : transaction.writes) {
      rows[row.key] = {row.key, row.value, version, false};
    }
    for (const std::string& key : transaction.deletes) {
      rows[key] = {key, "", version, true};
    }
    return QualifyVersion(era, version);
  }

  uint64_t QualifiedVersion() const { return QualifyVersion(era, version); }

  std::vector<StoredRow> RowsAfter(uint64_t after, bool with_deleted) const {
    std::vector<StoredRow> changed;
    for (const auto& [key, row] : rows) {
      if (row.version > after && (with_deleted || !row.deleted)) {
        changed.push_back(row);
        changed.back().version = QualifyVersion(era, row.version);
      }
    }
    return changed;
  }
};

class FakeRowStore : public RowStore {
 public:
  FakeRowStore(VirtualLoop* loop, FakeTable* table)
      : m_loop(loop), m_table(table) {}

  // While `down` is set, calls of this client are not answered.
  void SetDown(bool down) { m_down = down; }
  // Applies the next transaction only after `late` and loses its answer.
  void LoseNextAnswer(absl::Duration late) { m_lose_after = late; }
  // Applies transactions in time, but answers them after `delay`.
  void SetCommitAnswerDelay(absl::Duration delay) {
    m_commit_answer_delay = delay;
  }
  // Delays the answers to polls by `delay`.
  void SetPollDelay(absl::Duration delay) { m_poll_delay = delay; }
  // Makes the times of polls too new by `error`, but not later than the answer.
  void SetAsOfError(absl::Duration error) { m_as_of_error = error; }
  // Makes the next poll fail because the store no longer has the changes that
  // the poll asks for.
  void ForgetHistory() { m_history_lost = true; }

  void ReadTable(const std::string&,
                 absl::Duration timeout,
                 std::function<void(Result<RowChanges>)> done) override {
    Run(timeout, [this, done](bool reachable) {
      if (!reachable) {
        done(Unreachable());
        return;
      }
      RowChanges changes;
      changes.rows = m_table->RowsAfter(0, false);
      changes.version = m_table->QualifiedVersion();
      changes.snapshot = true;
      changes.as_of = m_loop->Now();
      done(changes);
    });
  }

  void PollChanges(const std::string&,
                   uint64_t after,
                   absl::Duration wait,
                   absl::Duration timeout,
                   std::function<void(Result<RowChanges>)> done) override {
    const absl::Time limit = m_loop->Now() + wait;
    Run(timeout, [this, after, limit, done](bool reachable) {
      if (!reachable) {
        done(Unreachable());
      } else if (std::exchange(m_history_lost, false)) {
        done(Error{ErrorKind::kNotFound, "the history no longer reaches back",
                   ""});
      } else {
        AnswerPoll(after, limit, done);
      }
    });
  }

  void Commit(const RowTransaction& transaction,
              absl::Duration timeout,
              std::function<void(Result<uint64_t>)> done) override {
    if (m_lose_after) {
      m_loop->Add(*std::exchange(m_lose_after, std::nullopt),
                  [this, transaction]() { (void)m_table->Apply(transaction); });
      m_loop->Add(timeout, [done]() { done(Unreachable()); });
      return;
    }
    Run(timeout, [this, transaction, done](bool reachable) {
      Result<uint64_t> result = reachable ? m_table->Apply(transaction)
                                          : Result<uint64_t>(Unreachable());
      if (reachable && transaction.era != m_table->era) {
        result = Error{ErrorKind::kConflict, "the store's era has changed", ""};
      }
      if (m_commit_answer_delay > absl::ZeroDuration()) {
        m_loop->Add(m_commit_answer_delay, [done, result]() { done(result); });
      } else {
        done(result);
      }
    });
  }

 private:
  static Error Unreachable() {
    return {ErrorKind::kUnavailable, "no answer", ""};
  }

  void Run(absl::Duration timeout, const std::function<void(bool)>& call) {
    if (m_down) {
      m_loop->Add(timeout, [call]() { call(false); });
    } else {
      m_loop->Add(kStoreLatency, [call]() { call(true); });
    }
  }

  void AnswerPoll(uint64_t after,
                  absl::Time limit,
                  const std::function<void(Result<RowChanges>)>& done) {
    if (EraOf(after) != m_table->era ||
        VersionNumber(after) > m_table->version) {
      // The store has returned from an older copy.
      done(Error{ErrorKind::kNotFound, "the version is unknown", ""});
      return;
    }
    RowChanges changes;
    changes.rows = m_table->RowsAfter(VersionNumber(after), true);
    changes.version = m_table->QualifiedVersion();
    changes.as_of = m_loop->Now() + std::min(m_as_of_error, m_poll_delay);
    if (m_down) {
      m_loop->Add(limit - m_loop->Now() + absl::Milliseconds(400),
                  [done]() { done(Unreachable()); });
    } else if (!changes.rows.empty() || m_loop->Now() >= limit) {
      m_loop->Add(m_poll_delay, [changes, done]() { done(changes); });
    } else {
      m_loop->Add(absl::Milliseconds(5), [this, after, limit, done]() {
        AnswerPoll(after, limit, done);
      });
    }
  }

  VirtualLoop* const m_loop;
  FakeTable* const m_table;
  absl::Duration m_poll_delay;
  absl::Duration m_as_of_error;
  absl::Duration m_commit_answer_delay;
  bool m_down = false;
  bool m_history_lost = false;
  std::optional<absl::Duration> m_lose_after;
};

// Delivers the answers of another store on a process's loop.
class ProcessRowStore : public RowStore {
 public:
  ProcessRowStore(ProcessLoop* loop, RowStore* store)
      : m_loop(loop), m_store(store) {}

  void ReadTable(const std::string& table,
                 absl::Duration timeout,
                 std::function<void(Result<RowChanges>)> done) override {
    m_store->ReadTable(table, timeout, m_loop->Delivering(std::move(done)));
  }
  void PollChanges(const std::string& table,
                   uint64_t after,
                   absl::Duration wait,
                   absl::Duration timeout,
                   std::function<void(Result<RowChanges>)> done) override {
    m_store->PollChanges(table, after, wait, timeout,
                         m_loop->Delivering(std::move(done)));
  }
  void Commit(const RowTransaction& transaction,
              absl::Duration timeout,
              std::function<void(Result<uint64_t>)> done) override {
    m_store->Commit(transaction, timeout, m_loop->Delivering(std::move(done)));
  }

 private:
  ProcessLoop* const m_loop;
  RowStore* const m_store;
};

}  // namespace heatherwick

#endif  // TESTS_GATEWAY_FAKE_ROW_STORE_H_
