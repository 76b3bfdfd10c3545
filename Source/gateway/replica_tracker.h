// Remembers which targets of a group may hold acknowledged commits. The list of
// targets does not show this: a target that has just left it may come back with
// its log, and a listed one may have lost its log in a restart.

#ifndef SOURCE_GATEWAY_REPLICA_TRACKER_H_
#define SOURCE_GATEWAY_REPLICA_TRACKER_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Source/base/types.h"
#include "Source/gateway/configuration.h"
#include "absl/time/time.h"

namespace heatherwick {

class ReplicaTracker {
 public:
  // Returns the least known position of the primary that includes every commit
  // acknowledged before a time; nullopt if there is none yet.
  using PositionCovering = std::function<std::optional<Position>(absl::Time)>;

  // Must be called regularly with the complete list of the group's targets.
  void Update(const std::vector<ListedTarget>& targets,
              const PositionCovering& position_covering,
              absl::Time now);

  // The targets that may hold acknowledged commits, listed or not.
  std::vector<TargetId> Holders() const;
  // Since when this instance has known the list; the infinite future before the
  // first call of Update(). Targets that left the list before are not known.
  absl::Time FollowedSince() const { return m_followed_since; }
  // False if the target has restarted, and so may have lost its log, and has
  // not received again what was acknowledged before that.
  bool HasItsLog(const TargetId& id, Position received) const;

 private:
  struct Replica {
    std::string address;
    int64_t started_unix_ms = 0;
    absl::Time last_listed;
    // Set when the target restarts under the same id.
    std::optional<absl::Time> restarted_at;
    // Includes every commit acknowledged before `restarted_at`.
    std::optional<Position> complete_from;
  };

  std::map<TargetId, Replica> m_replicas;
  absl::Time m_followed_since = absl::InfiniteFuture();
};

}  // namespace heatherwick

#endif  // SOURCE_GATEWAY_REPLICA_TRACKER_H_
