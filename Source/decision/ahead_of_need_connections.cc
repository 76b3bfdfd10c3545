// Computes how many connections to open before requests need them.

#include "Source/decision/ahead_of_need_connections.h"

#include <algorithm>

#include "Source/kernel/registry.h"

namespace heatherwick {
namespace {

const Registration<ConnectionPolicy, AheadOfNeedConnections> g_registration(
    "ahead_of_need");

// Opening a connection takes about 10 ms, so a connection that one load peak
// needed is kept for the next peak.
constexpr absl::Duration kIdleTimeout = absl::Seconds(60);

}  // namespace

uint32_t AheadOfNeedConnections::WantedConnections(
    const ConnectionDemand& demand) const {
  // Enough connections to fill every slot in addition to those pinned by idle
  // transactions. One more replaces a connection that a new transaction pins.
  const uint32_t needed = std::max(demand.slots, demand.busy) + demand.pinned;
  return std::min(demand.share, needed + 1 + demand.waiting);
}

absl::Duration AheadOfNeedConnections::IdleTimeout() const {
  return kIdleTimeout;
}

}  // namespace heatherwick
