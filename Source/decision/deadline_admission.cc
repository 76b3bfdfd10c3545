// Estimates the wait of a request and compares it with its deadline.

#include "Source/decision/deadline_admission.h"

#include <algorithm>

#include "Source/kernel/registry.h"

namespace heatherwick {
namespace {

const Registration<AdmissionPolicy, DeadlineAdmission> g_registration(
    "deadline");

// While the queue is emptier than this share of its limit, a caller may use
// more than its own part of it.
constexpr double kLentQueueShare = 0.5;

absl::Duration ExpectedWait(const AdmissionLoad& load) {
  // Fairness serves a caller at least at its own rate; when the others leave
  // early, at the rate of all slots.
  const double slots = std::max(1U, load.slots);
  const absl::Duration fair =
      std::min(load.ahead.own / (slots * load.ahead.own_fraction),
               load.ahead.total / slots);
  // Classes of higher priority may leave less than the fair part.
  return load.served_steadily ? std::max(fair, load.ahead.observed_wait) : fair;
}

bool QueueFull(const AdmissionLoad& load) {
  if (load.queued >= load.max_queued) {
    return true;
  }
  return load.queued >= load.max_queued * kLentQueueShare &&
         load.ahead.own_queued >= load.max_queued * load.ahead.share_fraction;
}

}  // namespace

absl::Time DeadlineAdmission::LatestStart(const ScheduledRequest& request,
                                          const DurationEstimate& estimate,
                                          absl::Duration commit_delay) const {
  return request.deadline - estimate.upper - commit_delay;
}

std::optional<Refusal> DeadlineAdmission::Decide(const PendingRequest& pending,
                                                 const AdmissionLoad& load,
                                                 absl::Time now) const {
  if (now > pending.latest_start) {
    return Refusal{ErrorKind::kDeadlineExceeded, "deadline_too_near"};
  }
  if (QueueFull(load)) {
    return Refusal{ErrorKind::kOverloaded, "queue_full"};
  }
  if (now + ExpectedWait(load) > pending.latest_start) {
    return Refusal{ErrorKind::kOverloaded, "wait_past_deadline"};
  }
  return std::nullopt;
}

}  // namespace heatherwick
