// Writes decision records to the log with a bounded cost: each decision has
// a budget of lines a second; what is over it is counted and reported in the
// next second's first line.

#ifndef SOURCE_BASE_DECISION_LOG_H_
#define SOURCE_BASE_DECISION_LOG_H_

#include <cstdint>
#include <string>

#include "Source/base/decision_record.h"
#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace heatherwick {

enum class DecisionLogLevel { kOff, kSampled, kAll };

class DecisionLog {
 public:
  // `lines_per_second` bounds the lines of each decision at kSampled.
  DecisionLog(DecisionLogLevel level, uint32_t lines_per_second);

  // Thread-safe.
  void Write(const DecisionRecord& record, absl::Time now);

  static bool ParseLevel(const std::string& text, DecisionLogLevel* level);

 private:
  struct Budget {
    int64_t second = 0;
    uint32_t written = 0;
    uint64_t suppressed = 0;
  };

  const DecisionLogLevel m_level;
  const uint32_t m_lines_per_second;
  absl::Mutex m_mutex;
  absl::flat_hash_map<std::string, Budget> m_budgets ABSL_GUARDED_BY(m_mutex);
};

}  // namespace heatherwick

#endif  // SOURCE_BASE_DECISION_LOG_H_
