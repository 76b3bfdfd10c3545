// Follows the list of targets.

#include "Source/gateway/replica_tracker.h"

#include <algorithm>
#include <set>

#include "glog/logging.h"

namespace heatherwick {
namespace {

// A target that is missing from the list for this long, or that has restarted
// and received nothing since, is no longer waited for. A change of primary is
// to be over within 18 s, and detection and promotion take up to 6 s of these.
constexpr absl::Duration kLogWaitTimeout = absl::Seconds(12);

void LogGivenUp(const TargetId& id, const char* cause) {
  LOG(WARNING) << "event=replica_log_given_up target=" << id << " cause=\""
               << cause << "\"";
}

}  // namespace

void ReplicaTracker::Update(const std::vector<ListedTarget>& targets,
                            const PositionCovering& position_covering,
                            absl::Time now) {
  m_followed_since = std::min(m_followed_since, now);
  std::set<std::string> listed_addresses;
  for (const ListedTarget& target : targets) {
    listed_addresses.insert(target.address);
    const auto [entry, added] = m_replicas.try_emplace(target.id);
    Replica& replica = entry->second;
    if (!added && replica.started_unix_ms != target.started_unix_ms) {
      replica.restarted_at = now;
      replica.complete_from.reset();
    }
    replica.address = target.address;
    replica.started_unix_ms = target.started_unix_ms;
    replica.last_listed = now;
    if (replica.restarted_at && !replica.complete_from) {
      replica.complete_from = position_covering(*replica.restarted_at);
      if (!replica.complete_from &&
          now - *replica.restarted_at > kLogWaitTimeout) {
        LogGivenUp(target.id, "restarted while no primary answered");
        replica.restarted_at.reset();
      }
    }
  }
  std::erase_if(m_replicas, [&](const auto& entry) {
    const auto& [id, replica] = entry;
    if (replica.last_listed == now) {
      return false;
    }
    // The log of a target that has left is transferred to the target that
    // replaces it at its address.
    if (listed_addresses.contains(replica.address)) {
      return true;
    }
    if (now - replica.last_listed <= kLogWaitTimeout) {
      return false;
    }
    LogGivenUp(id, "no longer listed");
    return true;
  });
}

std::vector<TargetId> ReplicaTracker::Holders() const {
  std::vector<TargetId> holders;
  for (const auto& [id, replica] : m_replicas) {
    holders.push_back(id);
  }
  return holders;
}

bool ReplicaTracker::HasItsLog(const TargetId& id, Position received) const {
  const auto found = m_replicas.find(id);
  if (found == m_replicas.end() || !found->second.restarted_at) {
    return true;
  }
  const std::optional<Position>& complete_from = found->second.complete_from;
  return complete_from && *complete_from <= received;
}

}  // namespace heatherwick
