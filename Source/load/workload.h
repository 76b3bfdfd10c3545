// The requests of an experiment, drawn in advance from a seed, so that every
// policy meets the same ones.

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

// A single statement, or a transaction when there are several.
struct PlannedRequest {
  absl::Duration at;  // Since the start of the run.
  uint32_t caller = 0;
  uint32_t session = 0;
  RequestClass request_class = RequestClass::kWrite;
  bool is_long = false;
  std::vector<PlannedStatement> statements;
};

// A stretch of time with a constant load, as a part of what the slots can
// do, for each caller.
struct LoadPhase {
  absl::Duration length;
  std::vector<double> caller_load;
};

struct WorkloadOptions {
  bool long_statements = true;
};

inline constexpr uint32_t kSessionsPerCaller = 50;

// Mean time that a statement holds a slot as its home sees it: the service
// and the way there and back.
absl::Duration MeanOccupancy(const Experiment& experiment,
                             const WorkloadOptions& options);
// One way between the home and a target.
absl::Duration LatencyTo(const Experiment& experiment,
                         const ExperimentTarget& target);

// Poisson arrivals for each caller.
std::vector<PlannedRequest> PlanWorkload(const Experiment& experiment,
                                         const std::vector<LoadPhase>& phases,
                                         const WorkloadOptions& options);

}  // namespace heatherwick

#endif  // SOURCE_LOAD_WORKLOAD_H_
