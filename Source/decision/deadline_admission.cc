// Estimates how long a request will wait and compares that with its deadline.

#include "Source/decision/deadline_admission.h"

#include <algorithm>

#include "Source/kernel/registry.h"

namespace heatherwick {
namespace {

const Registration<AdmissionPolicy, DeadlineAdmission> g_registration(
    "deadline");

// While less than this fraction of the queue's limit is in use, a caller may
// use more than its own part of the queue.
constexpr double kUnrestrictedQueueFraction = 0.5;

absl::Duration ExpectedWait(const AdmissionLoad& load) {
  // A fair queue serves a caller at least at the rate of its share of the
  // slots, and at the rate of all slots once no other caller has work.
  const double slots = std::max(1U, load.slots);
  const absl::Duration fair = std::min(
      load.ahead.caller_work / (slots * load.ahead.caller_slot_fraction),
      load.ahead.total_work / slots);
  // Requests of a class with higher priority may leave the caller less than its
  // share, so the observed wait can be longer.
  return load.served_steadily ? std::max(fair, load.ahead.observed_wait) : fair;
}

bool IsQueueFull(const AdmissionLoad& load) {
  if (load.queued >= load.max_queued) {
    return true;
  }
  return load.queued >= load.max_queued * kUnrestrictedQueueFraction &&
         load.ahead.caller_queued >=
             load.max_queued * load.ahead.caller_share_fraction;
}

}  // namespace

absl::Time DeadlineAdmission::LatestStart(const ScheduledRequest& request,
                                          const DurationEstimate& estimate,
                                          absl::Duration commit_delay) const {
  return request.deadline - estimate.upper - commit_delay;
}

std::optional<Refusal> DeadlineAdmission::CheckAdmission(
    const PendingRequest& pending,
    const AdmissionLoad& load,
    absl::Time now) const {
  if (now > pending.latest_start) {
    return Refusal{ErrorKind::kDeadlineExceeded, "deadline_too_near"};
  }
  if (IsQueueFull(load)) {
    return Refusal{ErrorKind::kOverloaded, "queue_full"};
  }
  if (now + ExpectedWait(load) > pending.latest_start) {
    return Refusal{ErrorKind::kOverloaded, "wait_past_deadline"};
  }
  return std::nullopt;
}

}  // namespace heatherwick
