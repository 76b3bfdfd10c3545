// Generates the requests of an experiment in advance from a seed, so that every
// policy handles the same requests.

#ifndef SOURCE_LOAD_WORKLOAD_H_
#define SOURCE_LOAD_WORKLOAD_H_

#include <cstdint>
#include <vector>

#include "Source/decision/group_scheduler.h"
#include "Source/load/experiment.h"
#include "absl/time/time.h"

namespace heatherwick {

struct PlannedStatement {
  uint64_t shape = 0;
  absl::Duration service;
};

// A single statement, or a transaction if there are several statements.
struct PlannedRequest {
  absl::Duration at;  // Arrival, counted from the start of the run.
  uint32_t caller = 0;
  uint32_t session = 0;
  RequestClass request_class = RequestClass::kWrite;
  bool is_long = false;
  std::vector<PlannedStatement> statements;
};

// A period of constant load. The load of each caller is a fraction of the
// capacity of all slots.
struct LoadPhase {
  absl::Duration length;
  std::vector<double> caller_load;
};

struct WorkloadOptions {
  bool long_statements = true;
};

inline constexpr uint32_t kSessionsPerCaller = 50;

// Mean time for which a statement occupies a slot from the view of the home
// (the instance that owns the group's queue): the service time and the round
// trip.
absl::Duration MeanOccupancy(const Experiment& experiment,
                             const WorkloadOptions& options);
// One-way latency between the home and a target.
absl::Duration LatencyTo(const Experiment& experiment,
                         const ExperimentTarget& target);

// Generates Poisson arrivals for each caller, sorted by time of arrival.
std::vector<PlannedRequest> PlanWorkload(const Experiment& experiment,
                                         const std::vector<LoadPhase>& phases,
                                         const WorkloadOptions& options);

}  // namespace heatherwick

#endif  // SOURCE_LOAD_WORKLOAD_H_
