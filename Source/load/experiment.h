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

// One class of statements: its part of the requests and its mean duration.
struct StatementMix {
  double part = 0;
  absl::Duration mean;
};

struct Experiment {
  std::string name;
  uint64_t seed = 0;
  std::vector<ExperimentTarget> targets;  // The first is the primary.
  DataCentreName home_data_centre;
  uint32_t slots = 0;        // Of each target.
  uint32_t connections = 0;  // This home's share for each target.
  absl::Duration connect_time;
  absl::Duration local_latency;   // One way, within a data centre.
  absl::Duration remote_latency;  // One way, between data centres.
  absl::Duration pull_period;     // Of a replica.
  std::vector<ExperimentCaller> callers;
  StatementMix writes;
  StatementMix current_reads;
  StatementMix aged_reads;
  double transaction_part = 0;  // Of the writes.
  absl::Duration max_age;       // Of aged reads.
  absl::Duration deadline;
  uint32_t long_one_in = 0;  // Statements for each long one.
  double long_factor = 1;
  double steady_load = 0;  // Part of what the slots can do.
  double peak_factor = 1;
  absl::Duration steady_time;
  absl::Duration peak_time;
  absl::Duration lag;  // Of a replica that falls behind.
};

// Reports every missing or wrong entry of the file at once.
Result<Experiment> ParseExperiment(const std::string& yaml);
Result<Experiment> LoadExperiment(const std::string& path);

}  // namespace heatherwick

#endif  // SOURCE_LOAD_EXPERIMENT_H_
