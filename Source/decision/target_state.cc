// Fitness, slots and connections of one target.

#include "Source/decision/target_state.h"

#include <algorithm>
#include <utility>

namespace heatherwick {
namespace {

// Promise 7 in docs/design.md: no new work after a few seconds. Steps of open
// transactions get this long to end.
constexpr absl::Duration kLeavingGrace = absl::Seconds(2);
// A replica that was unfit gets its full part of the reads after this time.
constexpr absl::Duration kRecoveryTime = absl::Seconds(3);
constexpr absl::Duration kLowestPause = absl::Milliseconds(50);
constexpr absl::Duration kHighestPause = absl::Seconds(1);
// A replica may refuse single reads because of their position; only a series
// says that it is unfit.
constexpr uint32_t kReplicaRefusals = 3;
constexpr uint32_t kMaxDoublings = 5;
// A sheet has few read kinds; more allowed ages share the last entry.
constexpr size_t kMaxUnfit = 16;

}  // namespace

TargetState::TargetState(TargetRules rules, bool same_data_centre)
    : m_rules(std::move(rules)), m_same_data_centre(same_data_centre) {}

void TargetState::SetRules(TargetRules rules, bool same_data_centre) {
  m_rules = std::move(rules);
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
    for (Unfit& unfit : m_unfit) {
      unfit.at = now;
    }
  }
  if (health.applied.term != m_health.applied.term) {
    m_received = {};  // A new term may cut off the end of the log.
  }
  m_health = health;
  m_health_at = now;
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
  return m_health.age + (now - m_health_at);
}

bool TargetState::HasLeft(absl::Time now) const {
  return now >= m_leaving_since + kLeavingGrace;
}

bool TargetState::AcceptsSteps(absl::Time now) const {
  return m_health.reachable && now >= m_paused_until && !HasLeft(now);
}

bool TargetState::AcceptsNewWork(absl::Time now) const {
  return m_health.reachable && !m_health.leaving && !m_removed &&
         now >= m_paused_until;
}

void TargetState::OnRefused(bool primary, absl::Time now) {
  ++m_refusals;
  const uint32_t tolerated = primary ? 0 : kReplicaRefusals - 1;
  if (m_refusals > tolerated) {
    const uint32_t doublings =
        std::min(m_refusals - tolerated - 1, kMaxDoublings);
    m_paused_until =
        now + std::min(kHighestPause, kLowestPause * (1 << doublings));
  }
}

void TargetState::OnRan() {
  m_refusals = 0;
}

void TargetState::EndPause() {
  m_refusals = 0;
  m_paused_until = absl::InfinitePast();
}

double TargetState::Recovery(absl::Duration max_age, absl::Time now) const {
  for (const Unfit& unfit : m_unfit) {
    if (unfit.max_age == max_age) {
      return std::clamp(absl::FDivDuration(now - unfit.at, kRecoveryTime), 0.0,
                        1.0);
    }
  }
  return 1.0;
}

void TargetState::MarkUnfit(absl::Duration max_age, absl::Time now) {
  for (Unfit& unfit : m_unfit) {
    if (unfit.max_age == max_age) {
      unfit.at = now;
      return;
    }
  }
  if (m_unfit.size() < kMaxUnfit) {
    m_unfit.push_back({max_age, now});
  } else {
    m_unfit.back() = {max_age, now};
  }
}

uint32_t TargetState::RunningLong(const DurationModel& durations,
                                  absl::Time now) const {
  uint32_t count = 0;
  for (const Connection& connection : m_connections) {
    if (connection.running != 0 &&
        (connection.running_long ||
         durations.IsLong(now - connection.started))) {
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

uint32_t TargetState::PinnedTransactions() const {
  uint32_t count = 0;
  for (const Connection& connection : m_connections) {
    count += connection.transaction != 0 ? 1 : 0;
  }
  return count;
}

ConnectionDemand TargetState::Demand(uint32_t waiting) const {
  ConnectionDemand demand;
  demand.share = m_rules.connections;
  demand.slots = m_rules.slots;
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
  used->running_long = is_long;
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
  m_open_back_off =
      std::clamp(m_open_back_off * 2, kLowestPause, kHighestPause);
  m_open_after = now + m_open_back_off;
}

void TargetState::OnOpened() {
  m_open_back_off = absl::ZeroDuration();
  m_open_after = absl::InfinitePast();
}

bool TargetState::MayOpen(absl::Time now) const {
  return now >= m_open_after && m_connections.size() < m_rules.connections;
}

}  // namespace heatherwick
