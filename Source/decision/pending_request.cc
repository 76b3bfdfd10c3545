// Records which targets have refused a request, and when.

#include "Source/decision/pending_request.h"

namespace heatherwick {

void PendingRequest::OnRefusedBy(const TargetId& target, absl::Time now) {
  for (TargetRefusal& refusal : refusals) {
    if (refusal.target == target) {
      refusal.at = now;
      return;
    }
  }
  refusals.push_back({target, now});
}

bool PendingRequest::IsRefusedBy(const TargetId& target,
                                 absl::Time last_report) const {
  for (const TargetRefusal& refusal : refusals) {
    if (refusal.target == target && refusal.at >= last_report) {
      return true;
    }
  }
  return false;
}

}  // namespace heatherwick
