// Comparison of figures with the bounds of the goals.

#include "Source/load/goals.h"

#include <cmath>

#include "absl/strings/str_format.h"
#include "absl/time/time.h"

namespace heatherwick {
namespace {

// Bounds of docs/design.md, section 1.4.
constexpr double kReplicaShareSteady = 0.95;
constexpr double kReplicaSharePeak = 0.90;
constexpr double kGoodput = 0.95;
constexpr double kShortWaitRatio = 2.0;
constexpr double kCallerService = 0.95;
constexpr absl::Duration kGap = absl::Seconds(2);
constexpr double kGapDifference = 0.20;
// No goals of that section: what "said early" and "reads go on" are taken to
// mean.
constexpr double kReadsInGap = 0.90;
constexpr double kEarlyRefusals = 0.90;

std::string Percent(double value) {
  return absl::StrFormat("%.1f%%", value * 100);
}

std::string Milliseconds(absl::Duration value) {
  return absl::StrFormat("%.1f ms", absl::ToDoubleMilliseconds(value));
}

std::string WaitText(const Figures& figures) {
  return absl::StrFormat("%.2f (%s / %s)", figures.short_wait_ratio,
                         Milliseconds(figures.short_wait_beside_long).c_str(),
                         Milliseconds(figures.short_wait_alone).c_str());
}

double GapDifference(const Figures& figures) {
  return std::abs(absl::FDivDuration(figures.gap_full_load, figures.gap_idle) -
                  1.0);
}

}  // namespace

std::vector<GoalRow> CompareWithGoals(const Figures& product,
                                      const Figures& baseline) {
  return {
      {"aged reads served by replicas, steady load", ">= 95%",
       Percent(product.replica_share_steady),
       Percent(baseline.replica_share_steady),
       product.replica_share_steady >= kReplicaShareSteady},
      {"aged reads served by replicas, peak", ">= 90%",
       Percent(product.replica_share_peak),
       Percent(baseline.replica_share_peak),
       product.replica_share_peak >= kReplicaSharePeak},
      {"goodput at the peak, of what the slots can do", ">= 95%",
       Percent(product.goodput_peak), Percent(baseline.goodput_peak),
       product.goodput_peak >= kGoodput},
      {"orders refused beside browsing", "0",
       absl::StrFormat("%d", product.orders_refused_beside_browsing),
       absl::StrFormat("%d", baseline.orders_refused_beside_browsing),
       product.orders_refused_beside_browsing == 0},
      {"p99 wait of short work beside long / alone", "<= 2.00",
       WaitText(product), WaitText(baseline),
       product.short_wait_ratio <= kShortWaitRatio},
      {"p99 response of short work beside long / without", "<= 2.00",
       absl::StrFormat("%.2f", product.short_response_ratio),
       absl::StrFormat("%.2f", baseline.short_response_ratio),
       product.short_response_ratio <= kShortWaitRatio},
      {"worst caller's service during another's rush", ">= 95%",
       Percent(product.worst_caller_service),
       Percent(baseline.worst_caller_service),
       product.worst_caller_service >= kCallerService},
      {"failover gap without load", "< 2000 ms", Milliseconds(product.gap_idle),
       Milliseconds(baseline.gap_idle), product.gap_idle < kGap},
      {"failover gap at full load", "< 2000 ms",
       Milliseconds(product.gap_full_load),
       Milliseconds(baseline.gap_full_load), product.gap_full_load < kGap},
      {"difference of the gaps", "<= 20%", Percent(GapDifference(product)),
       Percent(GapDifference(baseline)),
       GapDifference(product) <= kGapDifference},
      {"replicas' reads in the gap, of those before", ">= 90%",
       Percent(product.reads_in_gap), Percent(baseline.reads_in_gap),
       product.reads_in_gap >= kReadsInGap},
      {"refusals said within 100 ms at the peak", ">= 90%",
       Percent(product.early_refusals), Percent(baseline.early_refusals),
       product.early_refusals >= kEarlyRefusals},
      {"most statements at one target", "<= slots",
       absl::StrFormat("%d", product.most_statements),
       absl::StrFormat("%d", baseline.most_statements),
       product.most_statements <= product.slots},
      {"statements not done at steady load", "0",
       absl::StrFormat("%d", product.unfinished),
       absl::StrFormat("%d", baseline.unfinished), product.unfinished == 0},
  };
}

}  // namespace heatherwick
