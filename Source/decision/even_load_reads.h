// Read policy for choosers that see only a fraction of a target's load and
// learn of the rest late, from the lenders' answers. Compares two targets drawn
// at random, so that many choosers with the same old knowledge do not all take
// the same target.
//
// A target's load is estimated from the newest report of each lender, weighed
// by age. With age the estimate approaches the mean of the group, and its
// random error grows; without any report all targets are equal.
//
// A target that fails, refuses or delays statements, lags or has been absent
// takes part in a draw only with a probability, its share, that falls at once
// and rises slowly. The share bounds the work of a target that returns, however
// idle it looks. Refused and withdrawn statements are signs of load: they never
// move reads from all replicas to the primary, which the load itself decides.

#ifndef SOURCE_DECISION_EVEN_LOAD_READS_H_
#define SOURCE_DECISION_EVEN_LOAD_READS_H_

#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "Source/decision/read_policy.h"
#include "absl/random/bit_gen_ref.h"
#include "absl/time/time.h"

namespace heatherwick {

// One object for each group of targets.
class EvenLoadReads : public ReadPolicy {
 public:
  explicit EvenLoadReads(absl::BitGenRef random) : m_random(random) {}

  // Candidates that refused the request before are chosen only if there is no
  // other.
  std::optional<size_t> Choose(const PendingRequest& pending,
                               const std::vector<ReadCandidate>& candidates,
                               absl::Time now) override;
  bool OnLoad(const TargetId& target,
              const InstanceId& lender,
              const TargetLoad& load,
              absl::Time now) override;
  bool OnOutcome(const TargetId& target,
                 ReadOutcome outcome,
                 absl::Time now) override;
  std::optional<BelievedLoad> Believed(const TargetId& target,
                                       absl::Time now) const override;

 private:
  struct Report {
    TargetLoad load;
    absl::Time at;  // When it arrived here.
  };
  struct Loss {
    double factor = 1;  // Remaining fraction of the share.
    absl::Duration recovery;
    absl::Duration longest_recovery;  // After repeated losses.
  };
  // Rises from `at_loss` at `lost_at` to 1 within `recovery`.
  struct Share {
    double at_loss = 1.0;
    absl::Time lost_at = absl::InfinitePast();
    absl::Duration recovery;
  };
  struct Target {
    std::map<InstanceId, Report> reports;  // The newest of each lender.
    // Choices of this object that have not ended. Newer than any report, and a
    // target at which they last is one that is loaded.
    std::deque<absl::Time> own_choices;
    absl::Time last_candidate = absl::InfinitePast();
    absl::Time last_used = absl::InfinitePast();
    Share by_faults;
    Share by_load;
    int refusals_in_row = 0;
    absl::Time reported_slow = absl::InfinitePast();
  };
  struct Estimate {
    double statements = 0;  // At a lender.
    double lenders = 0;     // Sum of the weights of their reports.
    absl::Duration latency;
    // Weights of the newest report, from 0 to 1.
    double known = 0;
    double latency_known = 0;
  };

  static const Loss kFailure;
  static const Loss kOverload;
  static const Loss kRefusal;
  static const Loss kReturn;

  static double ShareAt(const Share& share, absl::Time now);
  static void Reduce(Share* share, const Loss& loss, absl::Time now);
  static Estimate EstimateOf(const Target& target, absl::Time now);
  // Whether the reported latency is far above that of all others.
  bool IsSlow(const TargetId& id, absl::Time now) const;
  void UpdatePresence(const std::vector<ReadCandidate>& candidates,
                      absl::Time now);
  // The candidates that take part in the draw.
  std::vector<size_t> Participants(const PendingRequest& pending,
                                   const std::vector<ReadCandidate>& candidates,
                                   absl::Time now);
  double CostOf(const ReadCandidate& candidate,
                const Estimate& estimate,
                const Estimate& mean);
  // Means over the targets whose load is known.
  static Estimate MeanOf(const std::vector<Estimate>& estimates);
  // Limits the memory for targets that are gone.
  Target& Entry(const TargetId& id, absl::Time now);

  absl::BitGenRef m_random;
  std::map<TargetId, Target> m_targets;
  absl::Time m_last_choice = absl::InfinitePast();
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_EVEN_LOAD_READS_H_
