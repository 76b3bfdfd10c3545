// Admits each request unless its deadline has passed or the queue is full. Does
// not estimate how long the request will wait.

#include "Source/decision/admit_all.h"

#include "Source/kernel/registry.h"

namespace heatherwick {
namespace {

const Registration<AdmissionPolicy, AdmitAll> g_registration("admit_all");

}  // namespace

absl::Time AdmitAll::LatestStart(const ScheduledRequest& request,
                                 const DurationEstimate& /*estimate*/,
                                 absl::Duration /*commit_delay*/) const {
  return request.deadline;
}

std::optional<Refusal> AdmitAll::CheckAdmission(const PendingRequest& pending,
                                                const AdmissionLoad& load,
                                                absl::Time now) const {
  if (now >= pending.latest_start) {
    return Refusal{ErrorKind::kDeadlineExceeded, "deadline_passed"};
  }
  if (load.queued >= load.max_queued) {
    return Refusal{ErrorKind::kOverloaded, "queue_full"};
  }
  return std::nullopt;
}

}  // namespace heatherwick
