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
  uint32_t slots = 0;  // Of the targets that can serve the request; may be 0.
  // The request's lane was served all the time of late, so that the observed
  // wait says what to expect.
  bool served_steadily = false;
  uint32_t queued = 0;
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

  // Latest useful start. `commit_delay` is zero but for writes.
  virtual absl::Time LatestStart(const ScheduledRequest& request,
                                 const DurationEstimate& estimate,
                                 absl::Duration commit_delay) const = 0;

  // Nothing admits the request.
  virtual std::optional<Refusal> Decide(const PendingRequest& pending,
                                        const AdmissionLoad& load,
                                        absl::Time now) const = 0;
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_ADMISSION_POLICY_H_
