// Decides which instances hold a workspace's quota.
//
// A quota is split into equal shards, each with one instance as its
// coordinator, so that the loss of an instance costs a part of the quota only.
// Each data centre with members has a shard, which its instances ask first; a
// fleet with few data centres has more of them. All instances compute the same
// shards from the same members, without messages.

#ifndef SOURCE_DECISION_QUOTA_PLAN_H_
#define SOURCE_DECISION_QUOTA_PLAN_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "Source/base/types.h"
#include "Source/decision/fleet_member.h"

namespace heatherwick {

// Shards of a quota, if the fleet has as many members and no more data centres.
inline constexpr size_t kMinQuotaShards = 4;

struct QuotaShard {
  InstanceId coordinator;  // Different for all shards of a quota.
  DataCentreName data_centre;
};

// The index of a shard in the result is its number. Empty without members.
std::vector<QuotaShard> PlanQuota(const WorkspaceName& workspace,
                                  const std::vector<FleetMember>& members);

// The numbers of the shards in the order in which `self` asks them: its own
// data centre's first, the others in an order that differs between instances.
std::vector<uint32_t> QuotaAskingOrder(const std::vector<QuotaShard>& shards,
                                       const DataCentreName& own_data_centre,
                                       const InstanceId& self);

}  // namespace heatherwick

#endif  // SOURCE_DECISION_QUOTA_PLAN_H_
