// The number of connections that are wanted before requests need them.

#include "Source/decision/ahead_of_need_connections.h"

#include <algorithm>

#include "Source/kernel/registry.h"

namespace heatherwick {
namespace {

const Registration<ConnectionPolicy, AheadOfNeedConnections> g_registration(
    "ahead_of_need");

// A connection costs about 10 ms to open, so one that a load swing needed is
// kept for the next swing.
constexpr absl::Duration kIdleTimeout = absl::Seconds(60);

}  // namespace

uint32_t AheadOfNeedConnections::Wanted(const ConnectionDemand& demand) const {
  // Every slot can be filled beside the open transactions, and one more
  // connection is ready when a transaction pins its own.
  const uint32_t needed = std::max(demand.slots, demand.busy) + demand.pinned;
  return std::min(demand.share, needed + 1 + demand.waiting);
}

absl::Duration AheadOfNeedConnections::IdleTimeout() const {
  return kIdleTimeout;
}

}  // namespace heatherwick
