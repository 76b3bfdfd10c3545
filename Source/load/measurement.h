// Runs the scenarios of an experiment with one set of policies and computes
// the figures of docs/design.md, section 1.4.

#ifndef SOURCE_LOAD_MEASUREMENT_H_
#define SOURCE_LOAD_MEASUREMENT_H_

#include <cstdint>
#include <vector>

#include "Source/decision/group_scheduler.h"
#include "Source/load/experiment.h"
#include "absl/time/time.h"

namespace heatherwick {

// A refusal is of use while its caller can still try elsewhere.
inline constexpr absl::Duration kEarlyRefusal = absl::Milliseconds(100);

// One second of the load swing, in statements.
struct SwingSecond {
  uint32_t arrived = 0;
  uint32_t done = 0;
  uint32_t refused = 0;
  uint32_t failed = 0;  // Late or unknown.
};

struct Figures {
  // Of the reads that accept age and were done, the part run by replicas.
  double replica_share_steady = 0;
  double replica_share_peak = 0;
  // Slot time of statements that ended in time, over all slot time.
  double goodput_peak = 0;
  // Orders refused while their target ran reads that accept age.
  uint32_t orders_refused_beside_browsing = 0;
  // Quantile 0.99 of the wait of short statements without long ones, and
  // beside long ones. Where nothing waits without them, the former is taken
  // at the same use of the slots.
  absl::Duration short_wait_alone;
  absl::Duration short_wait_beside_long;
  double short_wait_ratio = 0;
  // Quantile 0.99 of their wait and run together, beside long ones over the
  // same arrivals without these.
  double short_response_ratio = 0;
  uint32_t unfinished = 0;  // Statements not done at steady load.
  // Long statements refused at steady load.
  uint32_t short_unfinished = 0;
  // Of the refusals at the peak, the part said within kEarlyRefusal.
  double early_refusals = 0;
  // Slot time that the worst-off caller received over the lesser of its
  // demand and its share, while another caller rushes.
  double worst_caller_service = 0;
  absl::Duration gap_idle;
  absl::Duration gap_full_load;
  // Slot time of aged reads at replicas in the gap at full load, over that in
  // the same time before the crash.
  double reads_in_gap = 0;
  uint32_t most_statements = 0;  // At one target at the same time.
  uint32_t slots = 0;            // Of a target.
  std::vector<SwingSecond> swing;
};

SchedulerOptions ProductPolicies();
SchedulerOptions BaselinePolicies();

Figures Measure(const Experiment& experiment, const SchedulerOptions& policies);

}  // namespace heatherwick

#endif  // SOURCE_LOAD_MEASUREMENT_H_
