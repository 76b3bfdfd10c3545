// The description of a load experiment, read from a YAML file.

#ifndef SOURCE_LOAD_EXPERIMENT_H_
#define SOURCE_LOAD_EXPERIMENT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "Source/base/error.h"
#include "Source/base/types.h"
#include "absl/time/time.h"

namespace heatherwick {

struct ExperimentTarget {
  TargetId id;
  DataCentreName data_centre;
};

struct ExperimentCaller {
  CallerName name;
  uint32_t share = 1;
};

// One class of statements: its fraction of the requests and its mean service
// time.
struct StatementMix {
  double part = 0;
  absl::Duration mean;
};

struct Experiment {
  std::string name;
  uint64_t seed = 0;
  std::vector<ExperimentTarget> targets;  // The first is the primary.
  DataCentreName home_data_centre;
  uint32_t slots = 0;        // Statements that a target runs at once.
  uint32_t connections = 0;  // The home's share of each target's connections.
  absl::Duration connect_time;
  absl::Duration local_latency;   // One way, within a data centre.
  absl::Duration remote_latency;  // One way, between data centres.
  absl::Duration pull_period;     // Between two pulls of a replica.
  std::vector<ExperimentCaller> callers;
  StatementMix writes;
  StatementMix current_reads;
  StatementMix aged_reads;
  double transaction_part = 0;  // Fraction of the writes.
  absl::Duration max_age;  // Greatest age that bounded-staleness reads accept.
  absl::Duration deadline;
  uint32_t long_one_in = 0;  // One in this many single statements is long.
  double long_factor = 1;    // Multiplies the service time of a long statement.
  double steady_load = 0;    // Fraction of the capacity of all slots.
  double peak_factor = 1;    // Multiplies the steady load at the peak.
  absl::Duration steady_time;
  absl::Duration peak_time;
  absl::Duration lag;  // Replication lag of a replica that falls behind.
};

// The error names all missing or invalid entries.
Result<Experiment> ParseExperiment(const std::string& yaml);
Result<Experiment> LoadExperiment(const std::string& path);

}  // namespace heatherwick

#endif  // SOURCE_LOAD_EXPERIMENT_H_
