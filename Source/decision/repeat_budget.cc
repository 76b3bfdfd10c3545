// A token bucket that refills with completed work and, slowly, with time.

#include "Source/decision/repeat_budget.h"

#include <algorithm>

namespace heatherwick {
namespace {

constexpr absl::Duration kFirstBusyPause = absl::Milliseconds(15);
// A lender holds a request for at most 250 ms, so that its queue has changed
// after this time.
constexpr absl::Duration kLongestBusyPause = absl::Milliseconds(240);
constexpr int kMaxDoublings = 4;
// Of the pause: the part that differs between statements, and its resolution.
constexpr double kSpread = 0.25;
constexpr uint64_t kSpreadSteps = 1024;

}  // namespace

absl::string_view RepeatOutcomeName(RepeatOutcome outcome) {
  switch (outcome) {
    case RepeatOutcome::kAllowed:
      return "allowed";
    case RepeatOutcome::kNoFasterTarget:
      return "no_faster_target";
    case RepeatOutcome::kBudgetUsedUp:
      return "budget_used_up";
  }
  return "";
}

void RepeatBudget::Refill(absl::Time now) {
  if (now > m_refilled_at) {
    m_tokens = std::min(
        kMaxTokens, m_tokens + kRepeatsPerSecond *
                                   absl::ToDoubleSeconds(now - m_refilled_at));
  }
  m_refilled_at = now;
}

void RepeatBudget::OnCompleted(absl::Time now) {
  Refill(now);
  m_tokens = std::min(kMaxTokens, m_tokens + kRepeatsPerCompleted);
}

RepeatOutcome RepeatBudget::Take(absl::Time now) {
  Refill(now);
  if (m_tokens < 1) {
    return RepeatOutcome::kBudgetUsedUp;
  }
  m_tokens -= 1;
  return RepeatOutcome::kAllowed;
}

RepeatOutcome RepeatBudget::OnSlowRead(
    absl::Duration waited,
    std::optional<absl::Duration> other_latency,
    absl::Time now) {
  if (!other_latency || *other_latency > kClearlyFaster * waited) {
    return RepeatOutcome::kNoFasterTarget;
  }
  return Take(now);
}

RepeatOutcome RepeatBudget::OnRefusedLate(absl::Time now) {
  return Take(now);
}

absl::Duration BusyRetryPause(int refusals, uint64_t seed) {
  const int doublings = std::clamp(refusals - 1, 0, kMaxDoublings);
  const absl::Duration pause =
      std::min(kLongestBusyPause, kFirstBusyPause * (1 << doublings));
  return pause * (1 + kSpread * static_cast<double>(seed % kSpreadSteps) /
                          kSpreadSteps);
}

}  // namespace heatherwick
