// Matches executed requests with the positions that replicas report.

#include "Source/decision/commit_tracker.h"

#include <algorithm>
#include <cmath>

namespace heatherwick {

namespace {

constexpr absl::Duration kWaitTimeout = absl::Milliseconds(500);
constexpr absl::Duration kRetryDelay = absl::Milliseconds(50);
// Maximum number of outstanding waits at one replica. More than one is allowed,
// so that a request's wait is sent before an older wait has been answered.
constexpr size_t kMaxOutstandingWaits = 4;
constexpr double kSmoothingFactor = 0.1;

}  // namespace

void CommitTracker::OnPrimary(const TargetId& primary,
                              uint64_t term,
                              const std::vector<TargetId>& group,
                              absl::Time now,
                              std::vector<CommitAction>* actions) {
  if (term != m_term) {
    for (const auto& [position, pending] : m_pending) {
      actions->push_back(RequestUnconfirmed{pending.request});
    }
    m_pending.clear();
    m_replicas.clear();
  }
  m_term = term;
  m_group_size = group.size();
  std::map<TargetId, Replica> replicas;
  for (const TargetId& target : group) {
    if (target != primary) {
      replicas[target] = std::move(m_replicas[target]);
    }
  }
  m_replicas = std::move(replicas);
  IssueWaits(now, actions);
}

void CommitTracker::OnExecuted(RequestId request,
                               ConfirmationKind kind,
                               Position position,
                               absl::Time deadline,
                               absl::Time now,
                               std::vector<CommitAction>* actions) {
  if (position.term != m_term) {
    actions->push_back(RequestUnconfirmed{request});
    return;
  }
  m_pending.emplace(position, PendingConfirmation{request, kind, deadline, now,
                                                  m_last_wait + 1});
  ConfirmPending(now, actions);
  IssueWaits(now, actions);
}

void CommitTracker::OnPositionReport(const TargetId& target,
                                     WaitId wait,
                                     uint64_t term,
                                     Position last,
                                     absl::Time now,
                                     std::vector<CommitAction>* actions) {
  const auto found = m_replicas.find(target);
  if (found == m_replicas.end()) {
    return;
  }
  Replica& replica = found->second;
  std::erase_if(replica.outstanding, [wait](const OutstandingWait& other) {
    return other.wait == wait;
  });
  if (term == m_term) {
    replica.last_answered_wait = std::max(replica.last_answered_wait, wait);
    if (last.term == m_term) {
      replica.log_end = std::max(replica.log_end, last);
    }
    ConfirmPending(now, actions);
  } else {
    // A fenced replica answers at once. Asking again without a delay would keep
    // the replica and this instance busy until the new primary is known.
    replica.retry_at = now + kRetryDelay;
  }
  IssueWaits(now, actions);
}

void CommitTracker::OnPositionFailure(const TargetId& target,
                                      WaitId wait,
                                      absl::Time now,
                                      std::vector<CommitAction>* actions) {
  const auto found = m_replicas.find(target);
  if (found == m_replicas.end()) {
    return;
  }
  std::erase_if(
      found->second.outstanding,
      [wait](const OutstandingWait& other) { return other.wait == wait; });
  found->second.retry_at = now + kRetryDelay;
  IssueWaits(now, actions);
}

void CommitTracker::OnTick(absl::Time now, std::vector<CommitAction>* actions) {
  for (auto entry = m_pending.begin(); entry != m_pending.end();) {
    if (now < entry->second.deadline) {
      ++entry;
      continue;
    }
    actions->push_back(RequestUnconfirmed{entry->second.request});
    entry = m_pending.erase(entry);
  }
  IssueWaits(now, actions);
}

absl::Duration CommitTracker::ExpectedDelay(absl::Time now) const {
  const double seconds = absl::ToDoubleSeconds(now - m_last_confirmed);
  absl::Duration delay = m_smoothed_delay * std::exp2(-std::max(seconds, 0.0));
  for (const auto& [position, pending] : m_pending) {
    delay = std::max(delay, now - pending.executed_at);
  }
  return delay;
}

bool CommitTracker::IsConfirmed(Position position,
                                const PendingConfirmation& pending) const {
  // In a group of n targets, the primary and n / 2 replicas are a majority.
  size_t needed = m_group_size / 2;
  for (const auto& [target, replica] : m_replicas) {
    const bool has_valid_report =
        pending.kind == ConfirmationKind::kWrite ||
        replica.last_answered_wait >= pending.first_wait;
    if (needed > 0 && has_valid_report && replica.log_end >= position) {
      --needed;
    }
  }
  return needed == 0;
}

void CommitTracker::ConfirmPending(absl::Time now,
                                   std::vector<CommitAction>* actions) {
  for (auto entry = m_pending.begin(); entry != m_pending.end();) {
    const auto& [position, pending] = *entry;
    if (!IsConfirmed(position, pending)) {
      ++entry;
      continue;
    }
    actions->push_back(RequestConfirmed{pending.request});
    m_smoothed_delay +=
        kSmoothingFactor * ((now - pending.executed_at) - m_smoothed_delay);
    m_last_confirmed = now;
    entry = m_pending.erase(entry);
  }
}

void CommitTracker::IssueWaits(absl::Time now,
                               std::vector<CommitAction>* actions) {
  if (m_pending.empty()) {
    return;
  }
  for (auto& [target, replica] : m_replicas) {
    if (replica.outstanding.size() < kMaxOutstandingWaits &&
        now >= replica.retry_at) {
      IssueWait(target, &replica, actions);
    }
  }
}

void CommitTracker::IssueWait(const TargetId& target,
                              Replica* replica,
                              std::vector<CommitAction>* actions) {
  // The highest position that no outstanding wait will confirm.
  const Position* uncovered = nullptr;
  for (const auto& entry : m_pending) {
    const bool covered =
        std::any_of(replica->outstanding.begin(), replica->outstanding.end(),
                    [&entry](const OutstandingWait& other) {
                      return other.position >= entry.first &&
                             other.wait >= entry.second.first_wait;
                    });
    if (!covered) {
      uncovered = &entry.first;
    }
  }
  if (uncovered == nullptr) {
    return;
  }
  replica->outstanding.push_back({++m_last_wait, *uncovered});
  actions->push_back(
      WaitForPosition{m_last_wait, target, *uncovered, kWaitTimeout});
}

}  // namespace heatherwick
