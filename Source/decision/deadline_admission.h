// Default admission policy: immediately refuses requests that cannot end by
// their deadline.

#ifndef SOURCE_DECISION_DEADLINE_ADMISSION_H_
#define SOURCE_DECISION_DEADLINE_ADMISSION_H_

#include "Source/decision/admission_policy.h"

namespace heatherwick {

class DeadlineAdmission : public AdmissionPolicy {
 public:
  absl::Time LatestStart(const ScheduledRequest& request,
                         const DurationEstimate& estimate,
                         absl::Duration commit_delay) const override;
  std::optional<Refusal> CheckAdmission(const PendingRequest& pending,
                                        const AdmissionLoad& load,
                                        absl::Time now) const override;
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_DEADLINE_ADMISSION_H_
