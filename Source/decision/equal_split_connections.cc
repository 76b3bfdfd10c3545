// The baseline share of an instance.

#include "Source/decision/equal_split_connections.h"

#include <algorithm>

#include "Source/kernel/registry.h"

namespace heatherwick {
namespace {

const Registration<ConnectionPolicy, EqualSplitConnections> g_registration(
    "equal_split");

// Entry instances of the current deployments. A home's share is about half
// of a target's connections, so a third of it is a sixth of all.
constexpr uint32_t kEntriesPerShare = 3;
constexpr absl::Duration kIdleTimeout = absl::Seconds(1);

}  // namespace

uint32_t EqualSplitConnections::Wanted(const ConnectionDemand& demand) const {
  const uint32_t part = std::max(1U, demand.share / kEntriesPerShare);
  return std::min(part, demand.busy + demand.pinned + demand.waiting);
}

absl::Duration EqualSplitConnections::IdleTimeout() const {
  return kIdleTimeout;
}

}  // namespace heatherwick
