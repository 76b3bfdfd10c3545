// Ranks the members of each data centre and takes coordinators from them in
// turn.

#include "Source/decision/quota_plan.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

#include "Source/base/hash.h"
#include "Source/decision/weighted_rank.h"

namespace heatherwick {

std::vector<QuotaShard> PlanQuota(const WorkspaceName& workspace,
                                  const std::vector<FleetMember>& members) {
  const uint64_t seed = StableHash(workspace);
  using Ranked = std::pair<double, const FleetMember*>;
  std::map<DataCentreName, std::vector<Ranked>> data_centres;
  for (const FleetMember& member : members) {
    data_centres[member.data_centre].emplace_back(-WeightedScore(member, seed),
                                                  &member);
  }
  std::vector<std::pair<uint64_t, std::vector<Ranked>>> order;
  for (auto& [name, ranked] : data_centres) {
    std::sort(ranked.begin(), ranked.end(),
              [](const Ranked& first, const Ranked& second) {
                return std::tie(first.first, first.second->id) <
                       std::tie(second.first, second.second->id);
              });
    order.emplace_back(StableHash(name, seed), std::move(ranked));
  }
  std::sort(order.begin(), order.end(),
            [](const auto& first, const auto& second) {
              return first.first < second.first;
            });
  const size_t count =
      std::max(order.size(), std::min(kMinQuotaShards, members.size()));
  std::vector<QuotaShard> shards;
  for (size_t round = 0; shards.size() < count; ++round) {
    for (const auto& [hash, ranked] : order) {
      if (round < ranked.size() && shards.size() < count) {
        shards.push_back(
            {ranked[round].second->id, ranked[round].second->data_centre});
      }
    }
  }
  return shards;
}

std::vector<uint32_t> QuotaAskingOrder(const std::vector<QuotaShard>& shards,
                                       const DataCentreName& own_data_centre,
                                       const InstanceId& self) {
  std::vector<std::tuple<bool, uint64_t, uint32_t>> preferences;
  for (uint32_t number = 0; number < shards.size(); ++number) {
    preferences.emplace_back(
        shards[number].data_centre != own_data_centre,
        StableHash(shards[number].coordinator, StableHash(self)), number);
  }
  std::sort(preferences.begin(), preferences.end());
  std::vector<uint32_t> order;
  order.reserve(preferences.size());
  for (const auto& [remote, hash, number] : preferences) {
    order.push_back(number);
  }
  return order;
}

}  // namespace heatherwick
