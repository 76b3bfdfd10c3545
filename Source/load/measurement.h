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

// A refusal counts as early if it comes within this time, while its caller can
// still try elsewhere.
inline constexpr absl::Duration kMaxEarlyRefusalDelay = absl::Milliseconds(100);

// Statements that arrived in one second of the load swing, by outcome. The load
// swing is the scenario of steady load, peak load and steady load again.
struct SwingSecond {
  uint32_t arrived = 0;
  uint32_t done = 0;
  uint32_t refused = 0;
  uint32_t failed = 0;  // Late, unknown, or not finished when the run ended.
};

struct ExperimentFigures {
  // Fraction of the completed bounded-staleness reads that replicas served.
  double replica_share_steady = 0;
  double replica_share_peak = 0;
  // Slot time of statements that were done in time, divided by the slot time of
  // all slots.
  double goodput_peak = 0;
  // Writes that were refused while the primary ran a bounded-staleness read.
  uint32_t writes_refused_during_aged_reads = 0;
  // 99th percentile of the wait of short statements, without and with long
  // statements in the workload. If short statements hardly wait without long
  // ones, the wait without long ones is measured again at a higher rate of
  // short statements, which use as much slot time as the workload with long
  // ones.
  absl::Duration short_wait_without_long;
  absl::Duration short_wait_with_long;
  double short_wait_ratio = 0;
  // 99th percentile of the response time (wait and run) of short statements
  // with long ones, divided by that of the same arrivals without long ones.
  double short_response_ratio = 0;
  uint32_t unfinished = 0;  // Statements that were not done at steady load.
  // Not computed by any scenario.
  uint32_t short_unfinished = 0;
  // Fraction of the refusals at the peak that came within
  // kMaxEarlyRefusalDelay.
  double early_refusals = 0;
  // Slot time that a caller received, divided by the lesser of its demand and
  // its share, while another caller sends a burst of requests. The lowest value
  // of all callers without a burst.
  double worst_caller_service = 0;
  // Failover gap: the longest time without a completed write around a crash of
  // the primary.
  absl::Duration gap_idle;
  absl::Duration gap_full_load;
  // Slot time of bounded-staleness reads at replicas in the second after the
  // crash at full load, divided by that in the second before the crash.
  double reads_in_gap = 0;
  uint32_t max_concurrent_statements = 0;  // At one target.
  uint32_t slots = 0;                      // Of each target.
  std::vector<SwingSecond> swing;
};

SchedulerOptions ProductPolicies();
SchedulerOptions BaselinePolicies();

ExperimentFigures Measure(const Experiment& experiment,
                          const SchedulerOptions& policies);

}  // namespace heatherwick

#endif  // SOURCE_LOAD_MEASUREMENT_H_
