// Decides which instances hold connections to the targets of a group.
//
// Where a target accepts at least one connection of each instance, every
// instance has its own. Where it does not, a few instances, the group's
// lenders, hold the connections and lend them to the others for a statement or
// a transaction. Opening a connection takes about as much of a target's time as
// a statement, so that a fleet which opens one for each statement halves what
// its targets can do.
//
// All instances compute the same lenders from the same members. Together the
// lenders use half of the targets' limit, so that it also holds while instances
// disagree about the members, or targets still count the connections of
// machines that lost power.

#ifndef SOURCE_DECISION_LENDER_PLAN_H_
#define SOURCE_DECISION_LENDER_PLAN_H_

#include <cstddef>
#include <vector>

#include "Source/base/types.h"
#include "Source/decision/fleet_member.h"

namespace heatherwick {

struct LenderPlan {
  // Empty if every instance has connections of its own. Otherwise in the order
  // in which `self` turns to them: its own data centre first, and different
  // lenders first for different instances.
  std::vector<InstanceId> lenders;
  bool self_lends = false;
  // Connections of each lender to each target of the group.
  size_t connections = 0;
};

// `max_connections` is the limit of each target, for all instances together.
LenderPlan PlanLenders(const GroupName& group,
                       const std::vector<FleetMember>& members,
                       size_t max_connections,
                       const InstanceId& self);

}  // namespace heatherwick

#endif  // SOURCE_DECISION_LENDER_PLAN_H_
