// Runs the scenarios of an experiment and computes the figures from the
// records of the statements.

#include "Source/load/measurement.h"

#include <algorithm>
#include <utility>

#include "Source/load/simulation.h"
#include "Source/load/workload.h"

namespace heatherwick {
namespace {

// Time before a measurement window. In it, the policies open connections and
// learn the durations of statements.
constexpr absl::Duration kWarmUpTime = absl::Seconds(2);
// Time for the requests that are still in flight when the load ends.
constexpr absl::Duration kDrainTime = absl::Seconds(5);
constexpr absl::Duration kBurstTime = absl::Seconds(15);
constexpr absl::Duration kFailoverTime = absl::Seconds(15);
constexpr absl::Duration kCrashAt = absl::Seconds(5);
constexpr double kIdleLoad = 0.05;
constexpr double kFullLoad = 1.0;
constexpr double kBurstFactor = 10.0;
// Shorter waits are not noticeable, and a ratio of such waits has no meaning.
constexpr absl::Duration kMinWait = absl::Milliseconds(1);

struct Window {
  absl::Duration from;
  absl::Duration to;

  bool Contains(absl::Duration time) const { return time >= from && time < to; }
  absl::Duration Overlap(absl::Duration start, absl::Duration end) const {
    return std::max(absl::ZeroDuration(),
                    std::min(end, to) - std::max(start, from));
  }
  absl::Duration Length() const { return to - from; }
};

double TotalSlots(const Experiment& experiment) {
  return static_cast<double>(experiment.slots) * experiment.targets.size();
}

double ShareOf(const Experiment& experiment, size_t caller) {
  double sum = 0;
  for (const ExperimentCaller& each : experiment.callers) {
    sum += each.share;
  }
  return experiment.callers[caller].share / sum;
}

LoadPhase PhaseByShares(const Experiment& experiment,
                        absl::Duration length,
                        double load) {
  LoadPhase phase;
  phase.length = length;
  for (size_t caller = 0; caller < experiment.callers.size(); ++caller) {
    phase.caller_load.push_back(load * ShareOf(experiment, caller));
  }
  return phase;
}

absl::Duration TotalLength(const std::vector<LoadPhase>& phases) {
  absl::Duration length;
  for (const LoadPhase& phase : phases) {
    length += phase.length;
  }
  return length;
}

SimulationResult RunPhases(const Experiment& experiment,
                           const std::vector<LoadPhase>& phases,
                           const WorkloadOptions& workload,
                           SimulationOptions options) {
  const std::vector<PlannedRequest> plan =
      PlanWorkload(experiment, phases, workload);
  options.length = TotalLength(phases) + kDrainTime;
  return Simulation(experiment, plan, std::move(options)).Run();
}

double ReplicaShare(const std::vector<StatementRecord>& records,
                    Window window) {
  double done = 0;
  double at_replicas = 0;
  for (const StatementRecord& record : records) {
    if (record.request_class == RequestClass::kBoundedStalenessRead &&
        record.outcome == StatementOutcome::kDone &&
        window.Contains(record.arrived)) {
      done += 1;
      at_replicas += record.at_primary ? 0 : 1;
    }
  }
  return done == 0 ? 0 : at_replicas / done;
}

double UsefulSlotTime(const std::vector<StatementRecord>& records,
                      Window window,
                      double slots) {
  absl::Duration useful;
  for (const StatementRecord& record : records) {
    if (record.outcome == StatementOutcome::kDone) {
      useful +=
          window.Overlap(record.started, record.started + record.occupancy);
    }
  }
  return absl::FDivDuration(useful, window.Length() * slots);
}

std::vector<SwingSecond> SwingSeconds(
    const std::vector<StatementRecord>& records,
    absl::Duration length) {
  std::vector<SwingSecond> seconds(absl::ToInt64Seconds(length));
  for (const StatementRecord& record : records) {
    const auto index =
        static_cast<size_t>(absl::ToInt64Seconds(record.arrived));
    if (index >= seconds.size()) {
      continue;
    }
    ++seconds[index].arrived;
    switch (record.outcome) {
      case StatementOutcome::kDone:
        ++seconds[index].done;
        break;
      case StatementOutcome::kRefused:
        ++seconds[index].refused;
        break;
      case StatementOutcome::kLate:
      case StatementOutcome::kUnknown:
      case StatementOutcome::kOpen:
        ++seconds[index].failed;
        break;
    }
  }
  return seconds;
}

double EarlyRefusals(const std::vector<StatementRecord>& records,
                     Window window) {
  double refused = 0;
  double early = 0;
  for (const StatementRecord& record : records) {
    if (record.outcome == StatementOutcome::kRefused &&
        window.Contains(record.arrived)) {
      refused += 1;
      early += record.ended - record.arrived <= kMaxEarlyRefusalDelay ? 1 : 0;
    }
  }
  return refused == 0 ? 1.0 : early / refused;
}

void MeasureSwing(const Experiment& experiment,
                  const SchedulerOptions& policies,
                  ExperimentFigures* figures) {
  const std::vector<LoadPhase> phases = {
      PhaseByShares(experiment, experiment.steady_time, experiment.steady_load),
      PhaseByShares(experiment, experiment.peak_time,
                    experiment.steady_load * experiment.peak_factor),
      PhaseByShares(experiment, experiment.steady_time / 2,
                    experiment.steady_load)};
  SimulationOptions options;
  options.scheduler = policies;
  // One replica lags during the steady load, another one during the peak.
  const absl::Duration peak = experiment.steady_time;
  options.lags = {{1, peak * 0.25, peak * 0.6, experiment.lag},
                  {2, peak + experiment.peak_time * 0.3,
                   peak + experiment.peak_time * 0.5, experiment.lag}};
  const SimulationResult result =
      RunPhases(experiment, phases, WorkloadOptions{}, options);
  const Window steady = {kWarmUpTime, peak};
  const Window at_peak = {peak, peak + experiment.peak_time};
  figures->replica_share_steady = ReplicaShare(result.records, steady);
  figures->replica_share_peak = ReplicaShare(result.records, at_peak);
  figures->goodput_peak =
      UsefulSlotTime(result.records, at_peak, TotalSlots(experiment));
  for (const StatementRecord& record : result.records) {
    figures->writes_refused_during_aged_reads +=
        record.refused_during_aged_read ? 1 : 0;
  }
  figures->early_refusals = EarlyRefusals(result.records, at_peak);
  figures->max_concurrent_statements = result.max_concurrent_statements;
  figures->swing = SwingSeconds(result.records, TotalLength(phases));
}

absl::Duration Quantile(std::vector<absl::Duration> values, double quantile) {
  if (values.empty()) {
    return absl::ZeroDuration();
  }
  const auto place =
      values.begin() +
      static_cast<ptrdiff_t>(static_cast<double>(values.size() - 1) * quantile);
  std::nth_element(values.begin(), place, values.end());
  return *place;
}

absl::Duration ShortWait(const std::vector<StatementRecord>& records) {
  std::vector<absl::Duration> waits;
  for (const StatementRecord& record : records) {
    if (!record.is_long && record.arrived >= kWarmUpTime && record.starts > 0) {
      waits.push_back(record.started - record.arrived);
    }
  }
  return Quantile(std::move(waits), 0.99);
}

absl::Duration ShortResponse(const std::vector<StatementRecord>& records) {
  std::vector<absl::Duration> responses;
  for (const StatementRecord& record : records) {
    if (!record.is_long && record.arrived >= kWarmUpTime &&
        record.outcome == StatementOutcome::kDone) {
      responses.push_back(record.ended - record.arrived);
    }
  }
  return Quantile(std::move(responses), 0.99);
}

void MeasureLongWork(const Experiment& experiment,
                     const SchedulerOptions& policies,
                     ExperimentFigures* figures) {
  const std::vector<LoadPhase> phases = {PhaseByShares(
      experiment, experiment.steady_time * 2, experiment.steady_load)};
  SimulationOptions options;
  options.scheduler = policies;
  const SimulationResult without_long =
      RunPhases(experiment, phases, {.long_statements = false}, options);
  const SimulationResult with_long =
      RunPhases(experiment, phases, {.long_statements = true}, options);
  figures->short_wait_without_long = ShortWait(without_long.records);
  figures->short_wait_with_long = ShortWait(with_long.records);
  if (figures->short_wait_without_long < kMinWait) {
    // Without the long statements, the same arrivals use a third less slot
    // time. Then hardly any statement waits and the ratio has no meaning. The
    // wait is therefore measured with more short statements, which use as much
    // slot time as the workload with long ones.
    const double equal_load =
        experiment.steady_load *
        absl::FDivDuration(
            MeanOccupancy(experiment, {.long_statements = true}),
            MeanOccupancy(experiment, {.long_statements = false}));
    figures->short_wait_without_long = ShortWait(
        RunPhases(
            experiment,
            {PhaseByShares(experiment, experiment.steady_time * 2, equal_load)},
            {.long_statements = false}, options)
            .records);
  }
  figures->short_wait_ratio =
      absl::FDivDuration(std::max(figures->short_wait_with_long, kMinWait),
                         std::max(figures->short_wait_without_long, kMinWait));
  figures->short_response_ratio = absl::FDivDuration(
      ShortResponse(with_long.records), ShortResponse(without_long.records));
  for (const StatementRecord& record : with_long.records) {
    figures->unfinished += record.outcome == StatementOutcome::kDone ? 0 : 1;
  }
}

// Slot time that a caller received, divided by the lesser of its demand and its
// share.
double ServiceRatio(const Experiment& experiment,
                    const std::vector<StatementRecord>& records,
                    uint32_t caller,
                    Window window) {
  absl::Duration received;
  absl::Duration demand;
  for (const StatementRecord& record : records) {
    if (record.caller != caller || !window.Contains(record.arrived)) {
      continue;
    }
    const bool done = record.outcome == StatementOutcome::kDone;
    received += done ? record.occupancy : absl::ZeroDuration();
    demand += done ? record.occupancy : record.missed_slot_time;
  }
  const absl::Duration share =
      window.Length() * TotalSlots(experiment) * ShareOf(experiment, caller);
  return absl::FDivDuration(received, std::min(demand, share));
}

void MeasureBurst(const Experiment& experiment,
                  const SchedulerOptions& policies,
                  ExperimentFigures* figures) {
  LoadPhase phase = PhaseByShares(experiment, kBurstTime, kFullLoad);
  phase.caller_load[0] *= kBurstFactor;
  const std::vector<PlannedRequest> plan =
      PlanWorkload(experiment, {phase}, WorkloadOptions{});
  SimulationOptions options;
  options.scheduler = policies;
  options.length = kBurstTime + kDrainTime;
  const SimulationResult result =
      Simulation(experiment, plan, std::move(options)).Run();
  const Window window = {kWarmUpTime, kBurstTime};
  figures->worst_caller_service = 1.0;
  for (uint32_t caller = 1; caller < experiment.callers.size(); ++caller) {
    figures->worst_caller_service =
        std::min(figures->worst_caller_service,
                 ServiceRatio(experiment, result.records, caller, window));
  }
}

absl::Duration LongestGap(const std::vector<StatementRecord>& records) {
  std::vector<absl::Duration> ends;
  for (const StatementRecord& record : records) {
    if (record.request_class == RequestClass::kWrite &&
        record.outcome == StatementOutcome::kDone) {
      ends.push_back(record.ended);
    }
  }
  std::sort(ends.begin(), ends.end());
  const Window window = {kCrashAt - absl::Seconds(1), kFailoverTime};
  absl::Duration last = window.from;
  absl::Duration longest;
  for (const absl::Duration end : ends) {
    if (window.Contains(end)) {
      longest = std::max(longest, end - last);
      last = end;
    }
  }
  return std::max(longest, window.to - last);
}

absl::Duration ReadTimeAtReplicas(const std::vector<StatementRecord>& records,
                                  Window window) {
  absl::Duration time;
  for (const StatementRecord& record : records) {
    if (record.request_class == RequestClass::kBoundedStalenessRead &&
        record.outcome == StatementOutcome::kDone && !record.at_primary) {
      time += window.Overlap(record.started, record.started + record.occupancy);
    }
  }
  return time;
}

SimulationResult RunCrash(const Experiment& experiment,
                          const SchedulerOptions& policies,
                          double load) {
  SimulationOptions options;
  options.scheduler = policies;
  options.crash_primary_at = kCrashAt;
  return RunPhases(experiment, {PhaseByShares(experiment, kFailoverTime, load)},
                   WorkloadOptions{}, options);
}

void MeasureGapAtFullLoad(const Experiment& experiment,
                          const SchedulerOptions& policies,
                          ExperimentFigures* figures) {
  const SimulationResult result = RunCrash(experiment, policies, kFullLoad);
  figures->gap_full_load = LongestGap(result.records);
  const absl::Duration second = absl::Seconds(1);
  const absl::Duration before =
      ReadTimeAtReplicas(result.records, {kCrashAt - second, kCrashAt});
  const absl::Duration in_gap =
      ReadTimeAtReplicas(result.records, {kCrashAt, kCrashAt + second});
  figures->reads_in_gap = absl::FDivDuration(in_gap, before);
}

absl::Duration MeasureGapAtIdleLoad(Experiment experiment,
                                    const SchedulerOptions& policies) {
  // Uses single writes only. Otherwise there are too few writes at this low
  // load to show the gap.
  experiment.writes.part = 1.0;
  experiment.current_reads.part = 0;
  experiment.aged_reads.part = 0;
  experiment.transaction_part = 0;
  return LongestGap(RunCrash(experiment, policies, kIdleLoad).records);
}

}  // namespace

SchedulerOptions ProductPolicies() {
  return {};
}

SchedulerOptions BaselinePolicies() {
  SchedulerOptions options;
  options.queue_policy = "fifo";
  options.read_policy = "round_robin";
  options.connection_policy = "equal_split";
  options.admission_policy = "admit_all";
  return options;
}

ExperimentFigures Measure(const Experiment& experiment,
                          const SchedulerOptions& policies) {
  ExperimentFigures figures;
  figures.slots = experiment.slots;
  MeasureSwing(experiment, policies, &figures);
  MeasureLongWork(experiment, policies, &figures);
  MeasureBurst(experiment, policies, &figures);
  figures.gap_idle = MeasureGapAtIdleLoad(experiment, policies);
  MeasureGapAtFullLoad(experiment, policies, &figures);
  return figures;
}

}  // namespace heatherwick
