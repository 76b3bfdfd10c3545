// Compares the figures with the bound of each goal.

#include "Source/load/goals.h"

#include <cmath>

#include "absl/strings/str_format.h"
#include "absl/time/time.h"

namespace heatherwick {
namespace {

// Bounds of docs/design.md, section 1.4.
constexpr double kMinReplicaShareSteady = 0.95;
constexpr double kMinReplicaSharePeak = 0.90;
constexpr double kMinGoodput = 0.95;
constexpr double kMaxShortWaitRatio = 2.0;
constexpr double kMinCallerService = 0.95;
constexpr absl::Duration kMaxGap = absl::Seconds(2);
constexpr double kMaxGapDifference = 0.20;
// These two bounds are not stated in that section. They define what "said
// early" (refusals) and "reads go on" (during a failover) mean.
constexpr double kMinReadsInGap = 0.90;
constexpr double kMinEarlyRefusals = 0.90;

std::string Percent(double value) {
  return absl::StrFormat("%.1f%%", value * 100);
}

std::string Milliseconds(absl::Duration value) {
  return absl::StrFormat("%.1f ms", absl::ToDoubleMilliseconds(value));
}

std::string WaitText(const ExperimentFigures& figures) {
  return absl::StrFormat("%.2f (%s / %s)", figures.short_wait_ratio,
                         Milliseconds(figures.short_wait_with_long).c_str(),
                         Milliseconds(figures.short_wait_without_long).c_str());
}

double GapDifference(const ExperimentFigures& figures) {
  return std::abs(absl::FDivDuration(figures.gap_full_load, figures.gap_idle) -
                  1.0);
}

}  // namespace

std::vector<GoalRow> CompareWithGoals(const ExperimentFigures& product,
                                      const ExperimentFigures& baseline) {
  return {
      {"aged reads served by replicas, steady load", ">= 95%",
       Percent(product.replica_share_steady),
       Percent(baseline.replica_share_steady),
       product.replica_share_steady >= kMinReplicaShareSteady},
      {"aged reads served by replicas, peak", ">= 90%",
       Percent(product.replica_share_peak),
       Percent(baseline.replica_share_peak),
       product.replica_share_peak >= kMinReplicaSharePeak},
      {"goodput at the peak, of what the slots can do", ">= 95%",
       Percent(product.goodput_peak), Percent(baseline.goodput_peak),
       product.goodput_peak >= kMinGoodput},
      {"orders refused beside browsing", "0",
       absl::StrFormat("%d", product.writes_refused_during_aged_reads),
       absl::StrFormat("%d", baseline.writes_refused_during_aged_reads),
       product.writes_refused_during_aged_reads == 0},
      {"p99 wait of short work beside long / alone", "<= 2.00",
       WaitText(product), WaitText(baseline),
       product.short_wait_ratio <= kMaxShortWaitRatio},
      {"p99 response of short work beside long / without", "<= 2.00",
       absl::StrFormat("%.2f", product.short_response_ratio),
       absl::StrFormat("%.2f", baseline.short_response_ratio),
       product.short_response_ratio <= kMaxShortWaitRatio},
      {"worst caller's service during another's rush", ">= 95%",
       Percent(product.worst_caller_service),
       Percent(baseline.worst_caller_service),
       product.worst_caller_service >= kMinCallerService},
      {"failover gap without load", "< 2000 ms", Milliseconds(product.gap_idle),
       Milliseconds(baseline.gap_idle), product.gap_idle < kMaxGap},
      {"failover gap at full load", "< 2000 ms",
       Milliseconds(product.gap_full_load),
       Milliseconds(baseline.gap_full_load), product.gap_full_load < kMaxGap},
      {"difference of the gaps", "<= 20%", Percent(GapDifference(product)),
       Percent(GapDifference(baseline)),
       GapDifference(product) <= kMaxGapDifference},
      {"replicas' reads in the gap, of those before", ">= 90%",
       Percent(product.reads_in_gap), Percent(baseline.reads_in_gap),
       product.reads_in_gap >= kMinReadsInGap},
      {"refusals said within 100 ms at the peak", ">= 90%",
       Percent(product.early_refusals), Percent(baseline.early_refusals),
       product.early_refusals >= kMinEarlyRefusals},
      {"most statements at one target", "<= slots",
       absl::StrFormat("%d", product.max_concurrent_statements),
       absl::StrFormat("%d", baseline.max_concurrent_statements),
       product.max_concurrent_statements <= product.slots},
      {"statements not done at steady load", "0",
       absl::StrFormat("%d", product.unfinished),
       absl::StrFormat("%d", baseline.unfinished), product.unfinished == 0},
  };
}

}  // namespace heatherwick
