// Decides which requests enter the queue, and how long they may stay there.

#ifndef SOURCE_DECISION_ADMISSION_POLICY_H_
#define SOURCE_DECISION_ADMISSION_POLICY_H_

#include <cstdint>
#include <optional>

#include "Source/base/error.h"
#include "Source/decision/pending_request.h"
#include "Source/decision/queue_policy.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace heatherwick {

struct AdmissionLoad {
  WorkAhead ahead;
  // Slots of the targets that can serve the request; may be 0.
  uint32_t slots = 0;
  // Whether the request's lane was served without interruption recently. Only
  // then does the observed wait predict the wait of a new request.
  bool served_steadily = false;
  uint32_t queued = 0;  // Waiting requests of the group.
  uint32_t max_queued = 0;
};

struct Refusal {
  ErrorKind kind = ErrorKind::kOverloaded;
  absl::string_view reason;
};

class AdmissionPolicy {
 public:
  static constexpr const char* kPluginKind = "admission policy";

  virtual ~AdmissionPolicy() = default;

  // Returns the latest time at which it is useful to start the request.
  // `commit_delay` is zero except for writes.
  virtual absl::Time LatestStart(const ScheduledRequest& request,
                                 const DurationEstimate& estimate,
                                 absl::Duration commit_delay) const = 0;

  // Returns the refusal, or nullopt if the request is admitted.
  virtual std::optional<Refusal> CheckAdmission(const PendingRequest& pending,
                                                const AdmissionLoad& load,
                                                absl::Time now) const = 0;
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_ADMISSION_POLICY_H_
