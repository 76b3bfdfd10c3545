// Tracks the slots, the connections and the suitability of one target.

#include "Source/decision/target_state.h"

#include <algorithm>
#include <utility>

namespace heatherwick {
namespace {

// Time for which open transactions may still run statements after the target
// began to leave. Promise 7 in docs/design.md: no new work after a few seconds.
constexpr absl::Duration kLeavingGrace = absl::Seconds(2);
// Time after which a replica that was unsuitable gets its full part of the
// reads again.
constexpr absl::Duration kRecoveryTime = absl::Seconds(3);
constexpr absl::Duration kMinBackoff = absl::Milliseconds(50);
constexpr absl::Duration kMaxBackoff = absl::Seconds(1);
// Number of consecutive refusals by a replica that starts a backoff. A replica
// may refuse single reads because of their position, so one refusal does not
// show that the replica is unsuitable.
constexpr uint32_t kMinReplicaRefusals = 3;
constexpr uint32_t kMaxBackoffDoublings = 5;
// A sheet defines few read kinds. If there are more allowed ages than this, the
// additional ones share the last entry.
constexpr size_t kMaxUnsuitableAges = 16;

}  // namespace

TargetState::TargetState(TargetConfig config, bool same_data_centre)
    : m_config(std::move(config)), m_same_data_centre(same_data_centre) {}

void TargetState::SetConfig(TargetConfig config, bool same_data_centre) {
  m_config = std::move(config);
  m_same_data_centre = same_data_centre;
  m_removed = false;
}

void TargetState::Remove(absl::Time now) {
  m_removed = true;
  m_leaving_since = std::min(m_leaving_since, now);
}

void TargetState::OnHealth(const TargetHealth& health, absl::Time now) {
  if (!health.leaving && !m_removed) {
    m_leaving_since = absl::InfiniteFuture();
  } else {
    m_leaving_since = std::min(m_leaving_since, now);
  }
  if (!health.reachable) {
    for (Unsuitability& unsuitable : m_unsuitable) {
      unsuitable.last_seen = now;
    }
  }
  if (health.applied.term != m_health.applied.term) {
    m_received = {};  // The log end may be truncated in a new term.
  }
  m_health = health;
  m_health_reported_at = now;
}

void TargetState::OnPosition(PositionKind kind, Position last) {
  if (last.term != m_health.applied.term) {
    return;
  }
  Position* const known =
      kind == PositionKind::kApplied ? &m_health.applied : &m_received;
  *known = std::max(*known, last);
}

absl::Duration TargetState::AgeAt(absl::Time now) const {
  return m_health.age + (now - m_health_reported_at);
}

bool TargetState::LeavingGraceExpired(absl::Time now) const {
  return now >= m_leaving_since + kLeavingGrace;
}

bool TargetState::AcceptsTransactionSteps(absl::Time now) const {
  return m_health.reachable && now >= m_backoff_until &&
         !LeavingGraceExpired(now);
}

bool TargetState::AcceptsNewWork(absl::Time now) const {
  return m_health.reachable && !m_health.leaving && !m_removed &&
         now >= m_backoff_until;
}

void TargetState::OnRefused(bool primary, absl::Time now) {
  ++m_refusals;
  const uint32_t tolerated = primary ? 0 : kMinReplicaRefusals - 1;
  if (m_refusals > tolerated) {
    const uint32_t doublings =
        std::min(m_refusals - tolerated - 1, kMaxBackoffDoublings);
    m_backoff_until =
        now + std::min(kMaxBackoff, kMinBackoff * (1 << doublings));
  }
}

void TargetState::OnRan() {
  m_refusals = 0;
}

void TargetState::ResetBackoff() {
  m_refusals = 0;
  m_backoff_until = absl::InfinitePast();
}

double TargetState::Recovery(absl::Duration max_age, absl::Time now) const {
  for (const Unsuitability& unsuitable : m_unsuitable) {
    if (unsuitable.max_age == max_age) {
      return std::clamp(
          absl::FDivDuration(now - unsuitable.last_seen, kRecoveryTime), 0.0,
          1.0);
    }
  }
  return 1.0;
}

void TargetState::MarkUnsuitable(absl::Duration max_age, absl::Time now) {
  for (Unsuitability& unsuitable : m_unsuitable) {
    if (unsuitable.max_age == max_age) {
      unsuitable.last_seen = now;
      return;
    }
  }
  if (m_unsuitable.size() < kMaxUnsuitableAges) {
    m_unsuitable.push_back({max_age, now});
  } else {
    m_unsuitable.back() = {max_age, now};
  }
}

uint32_t TargetState::LongRunningCount(const DurationModel& durations,
                                       absl::Time now) const {
  uint32_t count = 0;
  for (const Connection& connection : m_connections) {
    if (connection.running != 0 &&
        (connection.is_long || durations.IsLong(now - connection.started))) {
      ++count;
    }
  }
  return count;
}

const Connection* TargetState::FreeConnection() const {
  const Connection* best = nullptr;
  for (const Connection& connection : m_connections) {
    if (connection.IsFree() &&
        (best == nullptr || connection.idle_since > best->idle_since)) {
      best = &connection;
    }
  }
  return best;
}

uint32_t TargetState::PinnedTransactionCount() const {
  uint32_t count = 0;
  for (const Connection& connection : m_connections) {
    count += connection.transaction != 0 ? 1 : 0;
  }
  return count;
}

ConnectionDemand TargetState::Demand(uint32_t waiting) const {
  ConnectionDemand demand;
  demand.share = m_config.connections;
  demand.slots = m_config.slots;
  demand.waiting = waiting;
  for (const Connection& connection : m_connections) {
    if (connection.running != 0) {
      ++demand.busy;
    } else if (connection.transaction != 0) {
      ++demand.pinned;
    }
  }
  return demand;
}

void TargetState::Start(ConnectionId connection,
                        const ScheduledRequest& request,
                        bool is_long,
                        absl::Time now) {
  Connection* used = Find(connection);
  used->running = request.id;
  used->started = now;
  used->is_long = is_long;
  if (request.begins_transaction) {
    used->transaction = request.transaction;
  }
  ++m_running;
}

bool TargetState::Finish(ConnectionId connection,
                         RequestId request,
                         absl::Time now) {
  Connection* used = Find(connection);
  if (used == nullptr || used->running != request) {
    return false;
  }
  used->running = 0;
  used->idle_since = now;
  --m_running;
  return true;
}

Connection* TargetState::Find(ConnectionId connection) {
  for (Connection& candidate : m_connections) {
    if (candidate.id == connection) {
      return &candidate;
    }
  }
  return nullptr;
}

Connection TargetState::Erase(ConnectionId connection) {
  for (Connection& candidate : m_connections) {
    if (candidate.id == connection) {
      const Connection erased = candidate;
      m_running -= erased.running != 0 ? 1 : 0;
      candidate = m_connections.back();
      m_connections.pop_back();
      return erased;
    }
  }
  return {};
}

void TargetState::AddOpening(ConnectionId connection, absl::Time now) {
  Connection opening;
  opening.id = connection;
  opening.idle_since = now;
  m_connections.push_back(opening);
}

void TargetState::OnOpenFailed(absl::Time now) {
  m_open_backoff = std::clamp(m_open_backoff * 2, kMinBackoff, kMaxBackoff);
  m_open_backoff_until = now + m_open_backoff;
}

void TargetState::OnOpened() {
  m_open_backoff = absl::ZeroDuration();
  m_open_backoff_until = absl::InfinitePast();
}

bool TargetState::MayOpen(absl::Time now) const {
  return now >= m_open_backoff_until &&
         m_connections.size() < m_config.connections;
}

}  // namespace heatherwick
