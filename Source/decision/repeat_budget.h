// Decides whether work that is late may be sent a second time while its first
// run still occupies its target or lender.
//
// Answers the load in which all callers return at once, as after a loss of
// power: every statement is late then, and each repetition takes a slot from a
// statement that has not run yet. One slow target is told from such a crowd by
// what other targets were seen to do: a read is repeated only if another target
// is clearly faster than the read has waited already. Because an instance's
// knowledge can be outdated, repetitions are also limited to a fraction of the
// work that completes. The budget starts empty, so that instances that all
// start together repeat nothing at first, and it refills slowly by itself, so
// that an instance with little traffic can repeat one now and then.

#ifndef SOURCE_DECISION_REPEAT_BUDGET_H_
#define SOURCE_DECISION_REPEAT_BUDGET_H_

#include <cstdint>
#include <optional>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace heatherwick {

enum class RepeatOutcome {
  kAllowed,
  kNoFasterTarget,  // No other target is known to be clearly faster.
  kBudgetUsedUp,
};

// As it appears in metrics and log lines.
absl::string_view RepeatOutcomeName(RepeatOutcome outcome);

class RepeatBudget {
 public:
  // Repetitions per completed statement. A repetition costs as much as a
  // statement, so this is also the load that they may add.
  static constexpr double kRepeatsPerCompleted = 0.05;
  // Refill without traffic: one in 5 s. All 131 instances of the larger
  // deployment together add 26 a second to its 1,700 statements.
  static constexpr double kRepeatsPerSecond = 0.2;
  static constexpr double kMaxTokens = 2;
  // A read is repeated if the other target needs at most this fraction of the
  // time that the read has waited.
  static constexpr double kClearlyFaster = 0.25;

  void OnCompleted(absl::Time now);
  // `other_latency` is the shortest latency known of another target, or nothing
  // if none is known. kAllowed takes one repetition from the budget.
  RepeatOutcome OnSlowRead(absl::Duration waited,
                           std::optional<absl::Duration> other_latency,
                           absl::Time now);
  // For work that was not run in time at one lender and could be offered to
  // another one.
  RepeatOutcome OnRefusedLate(absl::Time now);

 private:
  void Refill(absl::Time now);
  RepeatOutcome Take(absl::Time now);

  double m_tokens = 0;                                // At most kMaxTokens.
  absl::Time m_refilled_at = absl::InfiniteFuture();  // Until the first event.
};

// The pause before a statement that was refused as busy `refusals` times, at
// least once, is sent again. It doubles, because the refusals of a crowd last
// longer than those of a short burst, and differs between statements by up to a
// quarter according to `seed`, so that they do not return together.
absl::Duration BusyRetryPause(int refusals, uint64_t seed);

}  // namespace heatherwick

#endif  // SOURCE_DECISION_REPEAT_BUDGET_H_
