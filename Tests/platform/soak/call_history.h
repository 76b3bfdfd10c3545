// What callers asked and were told, and what the databases committed, checked
// against the product's promises. Values of one item grow: the n-th write of
// an item by its only writer carries the number n.

#ifndef TESTS_PLATFORM_SOAK_CALL_HISTORY_H_
#define TESTS_PLATFORM_SOAK_CALL_HISTORY_H_

#include <cstdint>
#include <string>
#include <vector>

#include "Tests/platform/platform_standin.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace heatherwick::platform {

enum class WriteOutcome { kDone, kNotRun, kUnknown };

struct WriteRecord {
  std::string item;
  uint64_t number = 0;
  WriteOutcome outcome = WriteOutcome::kUnknown;
  absl::Time answered;
};

struct ReadRecord {
  std::string item;
  uint64_t number = 0;  // As read; 0 for an item that was not there.
  absl::Time started;
  absl::Duration allowed_age;
  // Commits acknowledged to this session since then must be seen as well.
  absl::Time session_began = absl::InfiniteFuture();
};

struct TokenRecord {
  std::string holder;
  uint64_t token = 0;
};

class CallHistory {
 public:
  // Thread-safe.
  void AddWrite(WriteRecord record);
  void AddRead(ReadRecord record);
  void AddToken(TokenRecord record);

  // Each broken promise as one line; empty when all held.
  std::vector<std::string> Check(
      const std::vector<StandInCommit>& commits) const;
  std::string Summary(const std::vector<StandInCommit>& commits) const;

  static std::string ValueOfNumber(uint64_t number);
  static uint64_t NumberOfValue(const std::string& value);

 private:
  mutable absl::Mutex m_mutex;
  std::vector<WriteRecord> m_writes;
  std::vector<ReadRecord> m_reads;
  std::vector<TokenRecord> m_tokens;
};

}  // namespace heatherwick::platform

#endif  // TESTS_PLATFORM_SOAK_CALL_HISTORY_H_
