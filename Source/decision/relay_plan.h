// Decides from whom an instance learns the changes of a table of the platform's
// store, so that neither the store's calls nor the load of any instance grow
// with the number of instances.
//
// The members form a tree of bounded fan-out for each table. In each data
// centre the members are ranked by capacity and by a hash of their id; the
// first is the data centre's relay. The relays rank among each other in the
// same way, and the first, the table's reader, polls the store. The other
// relays follow the reader, and each further member follows a member of its own
// data centre with a lower rank. All instances compute the same tree from the
// same members, without messages.

#ifndef SOURCE_DECISION_RELAY_PLAN_H_
#define SOURCE_DECISION_RELAY_PLAN_H_

#include <cstddef>
#include <string>
#include <vector>

#include "Source/base/types.h"
#include "Source/decision/fleet_member.h"

namespace heatherwick {

// Members of the same data centre that follow one member.
inline constexpr size_t kRelayFanOut = 6;

// A source of a table's changes: another member, or the store itself if
// `member` is empty.
struct RelaySource {
  InstanceId member;

  bool IsStore() const { return member.empty(); }
  bool operator==(const RelaySource&) const = default;
};

struct RelayPlan {
  // Sources in order of preference. The first is used while it delivers recent
  // readings.
  std::vector<RelaySource> sources;
  // This instance reads the store itself only if so many of its sources do not
  // respond, because it may then be the one that is cut off; 0 if the store is
  // one of `sources`. A source that responds but cannot read the store does not
  // count. This bounds the calls of a fleet during an outage of the store.
  size_t unresponsive_before_store = 0;
};

RelayPlan PlanRelay(const std::string& table,
                    const std::vector<FleetMember>& members,
                    const InstanceId& self);

}  // namespace heatherwick

#endif  // SOURCE_DECISION_RELAY_PLAN_H_
