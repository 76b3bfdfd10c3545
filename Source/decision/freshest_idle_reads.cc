// Computes the cost of a read at a replica from the replica's load, freshness
// and data centre.

#include "Source/decision/freshest_idle_reads.h"

#include <algorithm>

#include "Source/kernel/registry.h"

namespace heatherwick {
namespace {

const Registration<ReadPolicy, FreshestIdleReads> g_registration(
    "freshest_idle");

// Cost of a replica in another data centre, in the unit of load (statements per
// slot). An idle local replica is preferred to a remote one, a nearly full
// local one is not.
constexpr double kRemoteCost = 0.4;
// A replica whose data is older than this fraction of the allowed age gets
// fewer reads.
constexpr double kFullWeightAgeFraction = 0.5;
constexpr double kMinWeight = 0.1;
// If there are replicas, a read may use the primary after it has waited for
// this fraction of the time between its arrival and its deadline.
constexpr double kPrimaryFallbackFraction = 0.5;

// Returns 1 for a fresh and recovered replica, and less for others, down to
// kMinWeight.
double WeightOf(const ReadCandidate& candidate, absl::Duration max_age) {
  const double age_fraction = absl::FDivDuration(
      candidate.age, std::max(max_age, absl::Milliseconds(1)));
  const double freshness =
      (1.0 - age_fraction) / (1.0 - kFullWeightAgeFraction);
  return std::max(kMinWeight, std::min({1.0, freshness, candidate.recovery}));
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
  if (!primary.can_start || primary.primary_work_waiting) {
    return false;
  }
  const absl::Duration budget = pending.request.deadline - pending.arrived;
  return !has_replica ||
         (!pending.is_long &&
          now - pending.arrived > budget * kPrimaryFallbackFraction);
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
