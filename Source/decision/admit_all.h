// Baseline admission policy: admits every request while the queue has room. A
// request may wait until its deadline.

#ifndef SOURCE_DECISION_ADMIT_ALL_H_
#define SOURCE_DECISION_ADMIT_ALL_H_

#include "Source/decision/admission_policy.h"

namespace heatherwick {

class AdmitAll : public AdmissionPolicy {
 public:
  absl::Time LatestStart(const ScheduledRequest& request,
                         const DurationEstimate& estimate,
                         absl::Duration commit_delay) const override;
  std::optional<Refusal> CheckAdmission(const PendingRequest& pending,
                                        const AdmissionLoad& load,
                                        absl::Time now) const override;
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_ADMIT_ALL_H_
