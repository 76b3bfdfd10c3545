// Interface of the policies that choose the target of a bounded-staleness read.

#ifndef SOURCE_DECISION_READ_POLICY_H_
#define SOURCE_DECISION_READ_POLICY_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "Source/decision/pending_request.h"
#include "absl/time/time.h"

namespace heatherwick {

// A target that satisfies the read's allowed age and minimum position.
struct ReadCandidate {
  TargetId id;
  bool primary = false;
  bool same_data_centre = false;
  bool can_start = false;  // A slot and a connection are free.
  // Requests that only the primary can run are waiting.
  bool primary_work_waiting = false;
  absl::Duration age;
  uint32_t slots = 0;
  uint32_t running = 0;
  uint32_t queued = 0;  // Statements that wait inside the target.
  // 0 when the target has just become suitable for reads with the allowed age
  // of this read; rises to 1 with time.
  double recovery = 1.0;
};

class ReadPolicy {
 public:
  static constexpr const char* kPluginKind = "read policy";

  virtual ~ReadPolicy() = default;

  // Returns the index of a candidate that can start the read now, or nullopt if
  // the read should wait.
  virtual std::optional<size_t> Choose(
      const PendingRequest& pending,
      const std::vector<ReadCandidate>& candidates,
      absl::Time now) = 0;
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_READ_POLICY_H_
