// Writes decision records to the log. To bound the cost, each kind of decision
// has a budget of lines per second. Records beyond the budget are not written
// but counted, and the next line of that kind reports their number.

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

// kOff writes no records, kSampled applies the budget, kAll writes every
// record.
enum class DecisionLogLevel { kOff, kSampled, kAll };

class DecisionLog {
 public:
  // `lines_per_second` is the budget of each kind of decision at kSampled.
  DecisionLog(DecisionLogLevel level, uint32_t lines_per_second);

  // Thread-safe.
  void Write(const DecisionRecord& record, absl::Time now);

  // Returns false and leaves `*level` when `text` names no level.
  static bool ParseLevel(const std::string& text, DecisionLogLevel* level);

 private:
  struct Budget {
    int64_t second = 0;       // Second that `written` refers to.
    uint32_t written = 0;     // Lines written in that second.
    uint64_t suppressed = 0;  // Records left out since the last line.
  };

  const DecisionLogLevel m_level;
  const uint32_t m_lines_per_second;
  absl::Mutex m_mutex;
  // By DecisionRecord::decision.
  absl::flat_hash_map<std::string, Budget> m_budgets ABSL_GUARDED_BY(m_mutex);
};

}  // namespace heatherwick

#endif  // SOURCE_BASE_DECISION_LOG_H_
