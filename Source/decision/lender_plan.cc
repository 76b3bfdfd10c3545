// Ranks the members of each data centre and takes lenders from them in turn.

#include "Source/decision/lender_plan.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

#include "Source/base/hash.h"
#include "Source/decision/weighted_rank.h"

namespace heatherwick {
namespace {

// The part of a limit that the lenders use together.
constexpr size_t kLimitDivisor = 2;
// Fewer connections a lender would leave transactions waiting for each other
// while connections of other lenders are free.
constexpr size_t kMinConnections = 4;

}  // namespace

LenderPlan PlanLenders(const GroupName& group,
                       const std::vector<FleetMember>& members,
                       size_t max_connections,
                       const InstanceId& self) {
  LenderPlan plan;
  if (max_connections >= members.size()) {
    return plan;
  }
  const uint64_t seed = StableHash(group);
  using Ranked = std::pair<double, const FleetMember*>;
  std::map<DataCentreName, std::vector<Ranked>> data_centres;
  DataCentreName own_data_centre;
  for (const FleetMember& member : members) {
    data_centres[member.data_centre].emplace_back(-WeightedScore(member, seed),
                                                  &member);
    if (member.id == self) {
      own_data_centre = member.data_centre;
    }
  }
  std::vector<std::pair<uint64_t, std::vector<Ranked>>> order;
  for (auto& [name, ranked] : data_centres) {
    std::sort(ranked.begin(), ranked.end());
    order.emplace_back(StableHash(name, seed), std::move(ranked));
  }
  std::sort(order.begin(), order.end());

  const size_t available = std::max<size_t>(1, max_connections / kLimitDivisor);
  const size_t count =
      std::clamp<size_t>(available / kMinConnections, 1, members.size());
  plan.connections = available / count;
  std::vector<const FleetMember*> lenders;
  for (size_t round = 0; lenders.size() < count; ++round) {
    for (const auto& [hash, ranked] : order) {
      if (round < ranked.size() && lenders.size() < count) {
        lenders.push_back(ranked[round].second);
      }
    }
  }
  using Preference = std::tuple<bool, uint64_t, InstanceId>;
  std::vector<Preference> preferences;
  for (const FleetMember* lender : lenders) {
    preferences.emplace_back(lender->data_centre != own_data_centre,
                             StableHash(lender->id, StableHash(self)),
                             lender->id);
    plan.self_lends |= lender->id == self;
  }
  std::sort(preferences.begin(), preferences.end());
  for (const Preference& preference : preferences) {
    plan.lenders.push_back(std::get<InstanceId>(preference));
  }
  return plan;
}

}  // namespace heatherwick
