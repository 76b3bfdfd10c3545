// Draws the arrivals, sessions, request classes and service times at random.

#include "Source/load/workload.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace heatherwick {
namespace {

// Number of statement shapes of each request class. It is small because an
// application repeats a small number of shapes.
constexpr uint64_t kShapesPerClass = 5;
// Number of statements of a transaction: begin, two writes, commit.
constexpr int kTransactionStatements = 4;
// Service times are distributed uniformly between these multiples of the mean.
constexpr double kMinServiceFactor = 0.5;
constexpr double kMaxServiceFactor = 1.5;

const StatementMix& MixOf(const Experiment& experiment,
                          RequestClass request_class) {
  switch (request_class) {
    case RequestClass::kWrite:
      return experiment.writes;
    case RequestClass::kCurrentRead:
      return experiment.current_reads;
    case RequestClass::kBoundedStalenessRead:
      break;
  }
  return experiment.aged_reads;
}

// Random numbers that are the same with every standard library, unlike those of
// std::uniform_real_distribution and the other standard distributions.
class RandomSource {
 public:
  explicit RandomSource(uint64_t seed) : m_engine(seed) {}

  double Uniform() { return static_cast<double>(m_engine() >> 11) * 0x1.0p-53; }
  uint64_t Below(uint64_t limit) {
    return static_cast<uint64_t>(Uniform() * static_cast<double>(limit));
  }
  absl::Duration Exponential(absl::Duration mean) {
    return mean * -std::log1p(-Uniform());
  }

 private:
  std::mt19937_64 m_engine;
};

RequestClass DrawClass(const Experiment& experiment, RandomSource* random) {
  const double value = random->Uniform();
  if (value < experiment.writes.part) {
    return RequestClass::kWrite;
  }
  return value < experiment.writes.part + experiment.current_reads.part
             ? RequestClass::kCurrentRead
             : RequestClass::kBoundedStalenessRead;
}

PlannedStatement DrawStatement(const Experiment& experiment,
                               RequestClass request_class,
                               bool is_long,
                               RandomSource* random) {
  const uint64_t class_shapes =
      static_cast<uint64_t>(request_class) * 2 * kShapesPerClass;
  PlannedStatement statement;
  statement.shape = 1 + class_shapes + (is_long ? kShapesPerClass : 0) +
                    random->Below(kShapesPerClass);
  statement.service =
      MixOf(experiment, request_class).mean *
      (kMinServiceFactor +
       (kMaxServiceFactor - kMinServiceFactor) * random->Uniform()) *
      (is_long ? experiment.long_factor : 1.0);
  return statement;
}

PlannedRequest DrawRequest(const Experiment& experiment,
                           const WorkloadOptions& options,
                           RandomSource* random) {
  PlannedRequest request;
  request.session = static_cast<uint32_t>(random->Below(kSessionsPerCaller));
  request.request_class = DrawClass(experiment, random);
  // This number is drawn even if it is not used, so that runs with and without
  // long statements have the same requests otherwise.
  const bool drawn_long = random->Below(experiment.long_one_in) == 0;
  const bool transaction = random->Uniform() < experiment.transaction_part &&
                           request.request_class == RequestClass::kWrite;
  request.is_long = drawn_long && options.long_statements && !transaction;
  const int count = transaction ? kTransactionStatements : 1;
  for (int index = 0; index < count; ++index) {
    request.statements.push_back(DrawStatement(
        experiment, request.request_class, request.is_long, random));
  }
  return request;
}

// Mean number of statements per request.
double MeanStatements(const Experiment& experiment) {
  return 1.0 + experiment.writes.part * experiment.transaction_part *
                   (kTransactionStatements - 1);
}

}  // namespace

absl::Duration LatencyTo(const Experiment& experiment,
                         const ExperimentTarget& target) {
  return target.data_centre == experiment.home_data_centre
             ? experiment.local_latency
             : experiment.remote_latency;
}

absl::Duration MeanOccupancy(const Experiment& experiment,
                             const WorkloadOptions& options) {
  absl::Duration round_trips;
  for (const ExperimentTarget& target : experiment.targets) {
    round_trips += 2 * LatencyTo(experiment, target);
  }
  const double transactions =
      experiment.writes.part * experiment.transaction_part;
  const double extra = transactions * (kTransactionStatements - 1);
  absl::Duration service = experiment.writes.mean * extra;
  const double mean_length_factor =
      options.long_statements
          ? 1.0 + (experiment.long_factor - 1.0) / experiment.long_one_in
          : 1.0;
  for (const RequestClass request_class :
       {RequestClass::kWrite, RequestClass::kCurrentRead,
        RequestClass::kBoundedStalenessRead}) {
    const StatementMix& mix = MixOf(experiment, request_class);
    service += mix.mean * mix.part * mean_length_factor;
  }
  return service / (1.0 + extra) +
         round_trips / static_cast<double>(experiment.targets.size());
}

std::vector<PlannedRequest> PlanWorkload(const Experiment& experiment,
                                         const std::vector<LoadPhase>& phases,
                                         const WorkloadOptions& options) {
  const double slots =
      static_cast<double>(experiment.slots) * experiment.targets.size();
  // Always counts the long statements, so that the rate of arrivals is the same
  // with and without them.
  const absl::Duration slot_time_per_request =
      MeanOccupancy(experiment, {.long_statements = true}) *
      MeanStatements(experiment);
  std::vector<PlannedRequest> plan;
  for (uint32_t caller = 0; caller < experiment.callers.size(); ++caller) {
    RandomSource random(experiment.seed * 1000 + caller);
    absl::Duration start;
    for (const LoadPhase& phase : phases) {
      const absl::Duration end = start + phase.length;
      const double load = phase.caller_load[caller];
      absl::Duration at = start;
      while (load > 0) {
        at += random.Exponential(slot_time_per_request / (slots * load));
        if (at >= end) {
          break;
        }
        PlannedRequest request = DrawRequest(experiment, options, &random);
        request.at = at;
        request.caller = caller;
        plan.push_back(std::move(request));
      }
      start = end;
    }
  }
  std::stable_sort(plan.begin(), plan.end(),
                   [](const PlannedRequest& left, const PlannedRequest& right) {
                     return left.at < right.at;
                   });
  return plan;
}

}  // namespace heatherwick
