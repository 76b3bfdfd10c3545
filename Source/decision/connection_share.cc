// Compares the connections that each workspace holds with its equal share.

#include "Source/decision/connection_share.h"

#include <algorithm>
#include <optional>

namespace heatherwick {
namespace {

// About the time in which a connection is opened, or a statement ends. A
// shorter wait would open connections for statements that are served sooner
// without.
constexpr absl::Duration kPatience = absl::Milliseconds(15);
// A workspace is taken to wait for this long after its last attempt. Attempts
// are repeated with each event of the pool, and each 50 ms.
constexpr absl::Duration kAttemptLifetime = absl::Milliseconds(120);
// A connection is used for this long before it is given up to a workspace that
// holds only one fewer, so that targets do not spend most of their time on
// opening connections.
constexpr absl::Duration kMinUse = absl::Milliseconds(100);

size_t Held(const WorkspaceName& workspace,
            const std::vector<SharedConnection>& connections) {
  return std::count_if(connections.begin(), connections.end(),
                       [&workspace](const SharedConnection& connection) {
                         return connection.workspace == workspace;
                       });
}

}  // namespace

bool ConnectionShare::Waits(const Wait& wait, absl::Time now) {
  return now - wait.last_attempt < kAttemptLifetime;
}

ConnectionShare::Choice ConnectionShare::Choose(
    const WorkspaceName& workspace,
    const std::vector<SharedConnection>& connections,
    size_t limit,
    absl::Time now) {
  std::erase_if(m_waiting,
                [now](const auto& entry) { return !Waits(entry.second, now); });
  Wait& wait = m_waiting.try_emplace(workspace, Wait{now, now}).first->second;
  wait.last_attempt = now;
  if (connections.size() < limit) {
    return {Action::kOpen};
  }
  bool own_is_idle = false;
  std::optional<size_t> idle_longest;
  for (size_t index = 0; index < connections.size(); ++index) {
    const SharedConnection& connection = connections[index];
    if (!connection.open || connection.busy) {
      continue;
    }
    if (connection.workspace == workspace) {
      own_is_idle = true;
    } else if (!idle_longest ||
               connection.idle_since < connections[*idle_longest].idle_since) {
      idle_longest = index;
    }
  }
  if (!idle_longest) {
    // A connection of its own that it left to another workspace may not be
    // taken, as that one may have given up.
    return {Action::kWait, 0,
            own_is_idle ? kPatience : absl::InfiniteDuration()};
  }
  const size_t held = Held(workspace, connections);
  const bool another_holds_fewer = std::any_of(
      m_waiting.begin(), m_waiting.end(),
      [&](const auto& entry) { return Held(entry.first, connections) < held; });
  if (another_holds_fewer) {
    return {Action::kWait, 0, kPatience};
  }
  const absl::Duration waited = now - wait.since;
  if (held > 0 && waited < kPatience) {
    return {Action::kWait, 0, kPatience - waited};
  }
  return {Action::kReplace, *idle_longest};
}

bool ConnectionShare::OthersWait(const WorkspaceName& workspace,
                                 absl::Time now) const {
  return std::any_of(
      m_waiting.begin(), m_waiting.end(), [&workspace, now](const auto& entry) {
        return entry.first != workspace &&
               now - entry.second.last_attempt < kAttemptLifetime &&
               now - entry.second.since >= kPatience;
      });
}

bool ConnectionShare::MustYield(
    size_t index,
    const std::vector<SharedConnection>& connections,
    size_t limit,
    absl::Time now) const {
  const SharedConnection& free = connections[index];
  if (!OthersWait(free.workspace, now) || connections.size() < limit) {
    return false;
  }
  const size_t held = Held(free.workspace, connections);
  const bool used_a_while = now - free.opened_at >= kMinUse;
  return std::any_of(
      m_waiting.begin(), m_waiting.end(), [&](const auto& entry) {
        const auto& [workspace, wait] = entry;
        if (workspace == free.workspace || !Waits(wait, now) ||
            now - wait.since < kPatience) {
          return false;
        }
        const size_t others = Held(workspace, connections);
        return others + 1 < held || (others < held && used_a_while);
      });
}

}  // namespace heatherwick
