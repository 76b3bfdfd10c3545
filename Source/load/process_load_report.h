// Counts, latencies, write gaps and violations of a load run. A write gap is
// the time between two acknowledged writes to the same group.

#ifndef SOURCE_LOAD_PROCESS_LOAD_REPORT_H_
#define SOURCE_LOAD_PROCESS_LOAD_REPORT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Source/base/metrics.h"
#include "Source/proto/proxy.pb.h"
#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace heatherwick {

enum class RequestOutcome { kDone, kNotRun, kUnknown, kFailed };

class ProcessLoadReport {
 public:
  // All methods are thread-safe.
  void Start(const std::vector<std::string>& groups, absl::Time now);
  // `request_class` is "write", "transaction" or "read/KIND".
  void AddRequest(const std::string& request_class,
                  RequestOutcome outcome,
                  const proto::ExecuteReply& reply,
                  absl::Duration latency);
  void AddNotSent();
  // Records an acknowledged write. `target` served it and is therefore the
  // group's primary.
  void AddAcknowledgedWrite(const std::string& group,
                            const std::string& target,
                            absl::Time now);
  void AddServedRead(const std::string& group,
                     const std::string& target,
                     const std::string& kind);
  void AddSettled(bool done);
  void AddViolation(const std::string& text);
  // Ends the measurement of gaps. The time from the last write to `now` counts
  // as a gap.
  void EndLoad(absl::Time now);

  uint64_t Violations() const;
  std::string ProgressLine(absl::Time now) const;
  std::string Table() const;
  std::string Json() const;

 private:
  struct ClassCounts {
    std::map<RequestOutcome, uint64_t> outcomes;
    LatencyHistogram done_latency;
  };
  struct GroupGap {
    std::string primary;
    absl::Time last;
    absl::Duration longest;
    absl::Duration longest_at;  // End of the longest gap since the load began.
    uint64_t writes = 0;
  };
  struct ErrorCounts {
    uint64_t count = 0;
    std::string example;  // The latest error message.
  };
  struct ReadCounts {
    uint64_t total = 0;
    uint64_t by_replica = 0;
  };

  uint64_t Total(RequestOutcome outcome) const
      ABSL_SHARED_LOCKS_REQUIRED(m_mutex);
  void EndGap(GroupGap* gap, absl::Time now)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

  mutable absl::Mutex m_mutex;
  absl::Time m_started ABSL_GUARDED_BY(m_mutex);
  bool m_load_ended ABSL_GUARDED_BY(m_mutex) = false;
  std::map<std::string, ClassCounts> m_classes ABSL_GUARDED_BY(m_mutex);
  std::map<std::string, ErrorCounts> m_errors ABSL_GUARDED_BY(m_mutex);
  std::map<std::string, GroupGap> m_gaps ABSL_GUARDED_BY(m_mutex);
  std::map<std::string, ReadCounts> m_reads ABSL_GUARDED_BY(m_mutex);
  uint64_t m_not_sent ABSL_GUARDED_BY(m_mutex) = 0;
  uint64_t m_settled_done ABSL_GUARDED_BY(m_mutex) = 0;
  uint64_t m_settled_not_run ABSL_GUARDED_BY(m_mutex) = 0;
  uint64_t m_violation_count ABSL_GUARDED_BY(m_mutex) = 0;
  std::vector<std::string> m_violations ABSL_GUARDED_BY(m_mutex);
};

}  // namespace heatherwick

#endif  // SOURCE_LOAD_PROCESS_LOAD_REPORT_H_
