// Records the statements of the soak's callers with their outcomes, and checks
// them and the commits of the databases against the guarantees of heatherwick.
// Each item has one writer, whose n-th write stores a value with the number n.
// The value of an item therefore shows which write it comes from.

#ifndef TESTS_PLATFORM_SOAK_CALL_HISTORY_H_
#define TESTS_PLATFORM_SOAK_CALL_HISTORY_H_

#include <cstdint>
#include <string>
#include <vector>

#include "Tests/platform/platform_fakes.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace heatherwick::platform {

enum class WriteOutcome { kDone, kNotRun, kUnknown };

struct WriteRecord {
  std::string item;
  uint64_t number = 0;
  WriteOutcome outcome = WriteOutcome::kUnknown;
  absl::Time reply_time;
};

struct ReadRecord {
  std::string item;
  uint64_t number = 0;  // Number of the value read; 0 if the item was absent.
  absl::Time start_time;
  absl::Duration max_staleness;
  // The read must also see the writes acknowledged to the session since this
  // time. InfiniteFuture for a read outside of sessions.
  absl::Time session_start = absl::InfiniteFuture();
};

// A statement that a caller sent. What a database ran is checked whether or not
// the statement was answered.
struct StatementRecord {
  std::string id;
  // When its first byte, or that of its transaction, was sent.
  absl::Time first_byte;
  absl::Duration max_staleness;  // Of its route; a write demands zero.
};

// A promotion, with the fencing token of the instance that ordered it.
struct PromotionRecord {
  std::string holder;
  uint64_t fencing_token = 0;
};

class CallHistory {
 public:
  // Thread-safe.
  void AddWrite(WriteRecord record);
  void AddRead(ReadRecord record);
  void AddPromotion(PromotionRecord record);
  void AddSent(StatementRecord statement);

  // Returns one line for each violated guarantee; empty when all were kept.
  std::vector<std::string> Check(const std::vector<FakeCommit>& commits) const;
  // Checks what the databases of one group ran: each read or write ran on a log
  // that had all commits which its route demands. `commits` are the group's.
  std::vector<std::string> CheckRuns(const std::vector<FakeCommit>& commits,
                                     const std::vector<FakeRun>& runs) const;
  // For groups with synchronous replicas: no promotion discarded a write that
  // was reported as done.
  std::vector<std::string> CheckSynchronous(
      const std::vector<FakeCommit>& commits) const;
  std::string Summary(const std::vector<FakeCommit>& commits) const;
  // Times from `event` until a write of each of the items was acknowledged.
  // Infinite for items without one.
  std::vector<absl::Duration> TimesToNextWrite(
      absl::Time event,
      const std::vector<std::string>& items) const;

  // Conversions between the number of a write and the value that it stores.
  // ParseValue returns 0 for a text that is no such value.
  static std::string FormatValue(uint64_t number);
  static uint64_t ParseValue(const std::string& value);

 private:
  mutable absl::Mutex m_mutex;
  std::vector<WriteRecord> m_writes;
  std::vector<ReadRecord> m_reads;
  std::vector<PromotionRecord> m_promotions;
  std::vector<StatementRecord> m_sent;
};

}  // namespace heatherwick::platform

#endif  // TESTS_PLATFORM_SOAK_CALL_HISTORY_H_
