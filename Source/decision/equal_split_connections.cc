// Computes the part of the share that one entry instance gets.

#include "Source/decision/equal_split_connections.h"

#include <algorithm>

#include "Source/kernel/registry.h"

namespace heatherwick {
namespace {

const Registration<ConnectionPolicy, EqualSplitConnections> g_registration(
    "equal_split");

// Number of entry instances in the current deployments. The share of a home
// (the instance that owns the group's queue) is split into this many parts. The
// share is about half of a target's connections, so each part is about a sixth
// of them.
constexpr uint32_t kEntryInstances = 3;
constexpr absl::Duration kIdleTimeout = absl::Seconds(1);

}  // namespace

uint32_t EqualSplitConnections::WantedConnections(
    const ConnectionDemand& demand) const {
  const uint32_t part = std::max(1U, demand.share / kEntryInstances);
  return std::min(part, demand.busy + demand.pinned + demand.waiting);
}

absl::Duration EqualSplitConnections::IdleTimeout() const {
  return kIdleTimeout;
}

}  // namespace heatherwick
