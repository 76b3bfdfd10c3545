// The cost of a replica by load, freshness and distance.

#include "Source/decision/freshest_idle_reads.h"

#include <algorithm>

#include "Source/kernel/registry.h"

namespace heatherwick {
namespace {

const Registration<ReadPolicy, FreshestIdleReads> g_registration(
    "freshest_idle");

// Cost of a hop to another data centre, in slots' worth of load: an idle
// local replica wins, a nearly full one does not.
constexpr double kRemoteCost = 0.4;
// A replica loses work from this share of the allowed age on.
constexpr double kFreshShare = 0.5;
constexpr double kLowestWeight = 0.1;
// A read may use the primary after this share of its time to the deadline.
constexpr double kPrimaryAfter = 0.5;

// 1 for a fresh and recovered replica, falling towards 0.
double WeightOf(const ReadCandidate& candidate, absl::Duration max_age) {
  const double used = absl::FDivDuration(
      candidate.age, std::max(max_age, absl::Milliseconds(1)));
  const double freshness = (1.0 - used) / (1.0 - kFreshShare);
  return std::max(kLowestWeight,
                  std::min({1.0, freshness, candidate.recovery}));
}

double CostOf(const ReadCandidate& candidate, absl::Duration max_age) {
  const double load =
      static_cast<double>(candidate.running + candidate.queued + 1) /
      std::max(1U, candidate.slots);
  return load / WeightOf(candidate, max_age) +
         (candidate.same_data_centre ? 0.0 : kRemoteCost);
}

bool MayUsePrimary(const PendingRequest& pending,
                   const ReadCandidate& primary,
                   bool has_replica,
                   absl::Time now) {
  if (!primary.can_start || primary.primary_work) {
    return false;
  }
  const absl::Duration budget = pending.request.deadline - pending.arrived;
  return !has_replica ||
         (!pending.is_long && now - pending.arrived > budget * kPrimaryAfter);
}

}  // namespace

std::optional<size_t> FreshestIdleReads::Choose(
    const PendingRequest& pending,
    const std::vector<ReadCandidate>& candidates,
    absl::Time now) {
  std::optional<size_t> best;
  std::optional<size_t> primary;
  bool has_replica = false;
  double best_cost = 0;
  for (size_t index = 0; index < candidates.size(); ++index) {
    const ReadCandidate& candidate = candidates[index];
    if (candidate.primary) {
      primary = index;
      continue;
    }
    has_replica = true;
    const double cost = CostOf(candidate, pending.request.max_age);
    if (candidate.can_start && (!best.has_value() || cost < best_cost)) {
      best = index;
      best_cost = cost;
    }
  }
  if (!best.has_value() && primary.has_value() &&
      MayUsePrimary(pending, candidates[*primary], has_replica, now)) {
    return primary;
  }
  return best;
}

}  // namespace heatherwick
