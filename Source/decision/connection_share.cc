// Compares the connections that each workspace holds with its equal share.

#include "Source/decision/connection_share.h"

#include <algorithm>
#include <optional>
#include <set>

namespace heatherwick {
namespace {

// About the time in which a connection is opened, or a statement ends. A
// shorter wait would open connections for statements that are served sooner
// without.
constexpr absl::Duration kPatience = absl::Milliseconds(15);
// A workspace is taken to wait for this long after its last attempt. Attempts
// are repeated with each event of the pool, and each 50 ms.
constexpr absl::Duration kAttemptLifetime = absl::Milliseconds(120);
// If there are fewer connections than active workspaces, a connection is used
// for this long before it is given up, so that targets do not spend most of
// their time on opening connections.
constexpr absl::Duration kMinUse = absl::Milliseconds(100);

}  // namespace

size_t ConnectionShare::Active(const std::vector<SharedConnection>& connections,
                               absl::Time now) const {
  std::set<WorkspaceName> active;
  for (const SharedConnection& connection : connections) {
    if (connection.busy || !connection.open) {
      active.insert(connection.workspace);
    }
  }
  for (const auto& [workspace, wait] : m_waiting) {
    if (now - wait.last_attempt < kAttemptLifetime) {
      active.insert(workspace);
    }
  }
  return active.size();
}

ConnectionShare::Choice ConnectionShare::Choose(
    const WorkspaceName& workspace,
    const std::vector<SharedConnection>& connections,
    size_t limit,
    absl::Time now) {
  std::erase_if(m_waiting, [now](const auto& entry) {
    return now - entry.second.last_attempt >= kAttemptLifetime;
  });
  Wait& wait = m_waiting.try_emplace(workspace, Wait{now, now}).first->second;
  wait.last_attempt = now;
  if (connections.size() < limit) {
    return {Action::kOpen};
  }
  size_t held = 0;
  std::optional<size_t> idle_longest;
  for (size_t index = 0; index < connections.size(); ++index) {
    const SharedConnection& connection = connections[index];
    if (connection.workspace == workspace) {
      ++held;
    } else if (connection.open && !connection.busy &&
               (!idle_longest || connection.idle_since <
                                     connections[*idle_longest].idle_since)) {
      idle_longest = index;
    }
  }
  if (!idle_longest) {
    return {};
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
  const size_t share = std::max<size_t>(
      1, limit / std::max<size_t>(1, Active(connections, now)));
  const size_t held =
      std::count_if(connections.begin(), connections.end(),
                    [&free](const SharedConnection& connection) {
                      return connection.workspace == free.workspace;
                    });
  return held > share ||
         (Active(connections, now) > limit && now - free.opened_at >= kMinUse);
}

}  // namespace heatherwick
