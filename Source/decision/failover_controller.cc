// Detects failed primaries, fences the targets, chooses the new primary and
// backs off after failed attempts.

#include "Source/decision/failover_controller.h"

#include <algorithm>

#include "absl/random/uniform_int_distribution.h"

namespace heatherwick {

FailoverController::FailoverController(FailoverOptions options,
                                       absl::BitGenRef random)
    : m_options(options), m_random(random) {}

void FailoverController::SetTargets(const std::vector<TargetId>& targets,
                                    absl::Time now) {
  std::map<TargetId, WatchedTarget> watched;
  for (const TargetId& target : targets) {
    const auto known = m_targets.find(target);
    watched[target] =
        known == m_targets.end() ? WatchedTarget() : known->second;
  }
  const bool changed =
      watched.size() != m_targets.size() ||
      !std::equal(watched.begin(), watched.end(), m_targets.begin(),
                  [](const auto& left, const auto& right) {
                    return left.first == right.first;
                  });
  m_targets = std::move(watched);
  if (changed && m_phase != Phase::kWatching) {
    // A majority of the previous set of targets need not be a majority of the
    // new set, so the grants are discarded.
    m_grants.clear();
    m_phase = Phase::kWatching;
  }
  if (m_primary && !m_targets.contains(m_primary->target)) {
    m_primary.reset();
  }
  if (m_watching_since == absl::InfinitePast()) {
    m_watching_since = now;
  }
}

void FailoverController::OnStatus(const TargetId& target,
                                  const TargetStatus& status,
                                  absl::Time now,
                                  std::vector<FailoverAction>* actions) {
  const auto found = m_targets.find(target);
  if (found == m_targets.end()) {
    return;
  }
  WatchedTarget& watched = found->second;
  watched.read_outstanding = false;
  // Replies may arrive out of order. A target's term never decreases, so a
  // reply with a lower term is outdated.
  if (watched.ever_answered && status.term < watched.status.term) {
    return;
  }
  watched.status = status;
  watched.ever_answered = true;
  watched.answered_at = now;
  if (m_phase == Phase::kWatching || m_phase == Phase::kBackoff) {
    AdoptReportedPrimary(now, actions);
  } else if (m_phase == Phase::kDraining) {
    MaybeStartHandover(now, actions);
  }
}

void FailoverController::OnStatusFailed(const TargetId& target,
                                        absl::Time now,
                                        std::vector<FailoverAction>* actions) {
  const auto found = m_targets.find(target);
  if (found == m_targets.end()) {
    return;
  }
  found->second.read_outstanding = false;
  if (m_phase == Phase::kWatching) {
    MaybeStartPromotion(now, actions);
  }
}

void FailoverController::OnFenceReply(const TargetId& target,
                                      uint64_t requested_term,
                                      bool granted,
                                      uint64_t term,
                                      Position last,
                                      absl::Time now,
                                      std::vector<FailoverAction>* actions) {
  const auto found = m_targets.find(target);
  if (found == m_targets.end() || m_phase != Phase::kFencing ||
      requested_term != m_attempt_term) {
    return;
  }
  TargetStatus& status = found->second.status;
  if (term > status.term) {
    status.term = term;
    status.primary = false;
  }
  if (!granted) {
    StartBackoff("higher_term", now, actions);
    return;
  }
  status.last = last;
  m_grants[target] = last;
  const size_t grants_without_suspect =
      m_grants.size() - m_grants.count(m_suspect);
  if (grants_without_suspect >= Majority()) {
    // These grants are a majority without the suspect, so the most advanced
    // log among them contains every acknowledged write. The suspect is left
    // out, because its log may be longer and would then be chosen.
    m_grants.erase(m_suspect);
    ChooseAndPromote(now, actions);
  }
}

void FailoverController::OnPromoteReply(const TargetId& target,
                                        uint64_t requested_term,
                                        bool promoted,
                                        uint64_t term,
                                        absl::Time now,
                                        std::vector<FailoverAction>* actions) {
  const auto found = m_targets.find(target);
  if (found == m_targets.end() || m_phase != Phase::kPromoting ||
      requested_term != m_attempt_term) {
    return;
  }
  if (!promoted) {
    TargetStatus& status = found->second.status;
    if (term > status.term) {
      status.term = term;
      status.primary = false;
    }
    StartBackoff("higher_term", now, actions);
    return;
  }
  found->second.status.primary = true;
  found->second.status.term = requested_term;
  found->second.answered_at = now;
  m_phase = Phase::kWatching;
  SetPrimary({target, requested_term, "promoted"}, now, actions);
}

void FailoverController::OnTick(absl::Time now,
                                std::vector<FailoverAction>* actions) {
  for (auto& [target, watched] : m_targets) {
    const bool overdue = watched.read_outstanding &&
                         now >= watched.next_read + m_options.status_timeout;
    if ((!watched.read_outstanding && now >= watched.next_read) || overdue) {
      ReadStatus(target, &watched, now, actions);
    }
  }
  if (m_phase == Phase::kWatching) {
    MaybeStartPromotion(now, actions);
    return;
  }
  if (m_phase == Phase::kDraining) {
    RefreshTargetStatus(now, actions);
    MaybeStartHandover(now, actions);
    return;
  }
  if (now < m_phase_ends) {
    return;
  }
  switch (m_phase) {
    case Phase::kFencing:
      if (m_grants.size() >= Majority()) {
        ChooseAndPromote(now, actions);
      } else {
        StartBackoff("too_few_grants", now, actions);
      }
      break;
    case Phase::kPromoting:
      StartBackoff("no_answer", now, actions);
      break;
    case Phase::kBackoff:
    case Phase::kDraining:
    case Phase::kWatching:
      m_phase = Phase::kWatching;
      AdoptReportedPrimary(now, actions);
      MaybeStartPromotion(now, actions);
      break;
  }
}

void FailoverController::RefreshTargetStatus(
    absl::Time now,
    std::vector<FailoverAction>* actions) {
  for (auto& [target, watched] : m_targets) {
    if (!watched.read_outstanding) {
      ReadStatus(target, &watched, now, actions);
    }
  }
}

void FailoverController::ReadStatus(const TargetId& target,
                                    WatchedTarget* watched,
                                    absl::Time now,
                                    std::vector<FailoverAction>* actions) {
  watched->read_outstanding = true;
  watched->requested_at = now;
  watched->next_read = now + m_options.status_period;
  actions->push_back(ReadTargetStatus{target});
}

void FailoverController::SetPrimary(const PrimaryKnown& primary,
                                    absl::Time now,
                                    std::vector<FailoverAction>* actions) {
  m_primary = primary;
  m_primary_since = now;
  m_last_loss = {};
  actions->push_back(primary);
}

bool FailoverController::IsFresh(const WatchedTarget& watched,
                                 absl::Time now) const {
  return watched.ever_answered &&
         now - watched.answered_at <= m_options.suspicion_timeout;
}

uint64_t FailoverController::HighestTerm() const {
  return std::max(m_attempt_term, HighestReportedTerm());
}

void FailoverController::AdoptReportedPrimary(
    absl::Time now,
    std::vector<FailoverAction>* actions) {
  const uint64_t highest = HighestReportedTerm();
  for (const auto& [target, watched] : m_targets) {
    // A primary of a lower term is not adopted: some target has already granted
    // a newer term to a controller, which may replace the primary at any time.
    if (!watched.status.primary || watched.status.term != highest ||
        !IsFresh(watched, now)) {
      continue;
    }
    m_phase = Phase::kWatching;
    if (m_primary && m_primary->target == target &&
        m_primary->term == highest) {
      return;
    }
    SetPrimary({target, highest, "reported"}, now, actions);
    return;
  }
  if (m_primary && m_primary->term < highest) {
    ReportPrimaryLost("fenced", /*home_cut_off=*/false, actions);
    // Another controller may be about to promote a target; give it time to
    // finish.
    StartBackoff("newer_term", now, actions);
  } else if (m_primary && HasLostRole(m_targets[m_primary->target])) {
    ReportPrimaryLost("role_lost", /*home_cut_off=*/false, actions);
    StartBackoff("role_lost", now, actions);
  }
}

bool FailoverController::HasLostRole(const WatchedTarget& primary) const {
  // A reply to an earlier request may date from before the promotion.
  return !primary.status.primary && primary.status.term == m_primary->term &&
         primary.requested_at > m_primary_since;
}

void FailoverController::ReportPrimaryLost(
    absl::string_view reason,
    bool home_cut_off,
    std::vector<FailoverAction>* actions) {
  const std::pair<bool, bool> state = {true, home_cut_off};
  if (!m_primary && m_last_loss == state) {
    return;
  }
  m_primary.reset();
  m_last_loss = state;
  actions->push_back(PrimaryLost{reason, home_cut_off});
}

uint64_t FailoverController::HighestReportedTerm() const {
  uint64_t highest = 0;
  for (const auto& [target, watched] : m_targets) {
    highest = std::max(highest, watched.status.term);
  }
  return highest;
}

bool FailoverController::MajorityOfReplicasLostPrimary(absl::Time now) const {
  const uint64_t highest = HighestReportedTerm();
  const size_t others = m_targets.size() - 1;
  size_t without_contact = 0;
  for (const auto& [target, watched] : m_targets) {
    // A target that believes it is the primary of an older term follows no
    // primary.
    const bool lost_contact = watched.status.primary
                                  ? watched.status.term < highest
                                  : watched.status.since_primary_contact >=
                                        m_options.suspicion_timeout;
    if (IsFresh(watched, now) && lost_contact) {
      ++without_contact;
    }
  }
  return without_contact >= others / 2 + 1;
}

bool FailoverController::ReplicaHasPrimaryContact(absl::Time now) const {
  const uint64_t highest = HighestReportedTerm();
  // A replica whose last contact with the primary is about as old as this
  // instance's own does not show that the primary is still alive.
  absl::Time last_contact = m_watching_since;
  for (const auto& [target, watched] : m_targets) {
    if (watched.status.primary && watched.status.term == highest) {
      last_contact = std::max(last_contact, watched.answered_at);
    }
  }
  return std::any_of(m_targets.begin(), m_targets.end(), [&](const auto& row) {
    const WatchedTarget& watched = row.second;
    const TargetStatus& status = watched.status;
    return IsFresh(watched, now) && !status.primary && status.term == highest &&
           status.since_primary_contact < m_options.suspicion_timeout &&
           watched.answered_at - status.since_primary_contact >
               last_contact + m_options.suspicion_timeout / 2;
  });
}

void FailoverController::MaybeStartPromotion(
    absl::Time now,
    std::vector<FailoverAction>* actions) {
  if (!m_active || m_targets.empty()) {
    return;
  }
  if (m_primary && IsFresh(m_targets[m_primary->target], now)) {
    MaybeReplacePrimary(now, actions);
    return;
  }
  if (now - m_watching_since < m_options.suspicion_timeout) {
    return;  // The first replies may still be on their way.
  }
  const auto fresh = static_cast<size_t>(
      std::count_if(m_targets.begin(), m_targets.end(),
                    [&](const auto& row) { return IsFresh(row.second, now); }));
  if (fresh < Majority()) {
    ReportPrimaryLost("no_majority", /*home_cut_off=*/true, actions);
    return;
  }
  const uint64_t highest = HighestTerm();
  const bool term_has_primary =
      std::any_of(m_targets.begin(), m_targets.end(), [&](const auto& row) {
        return row.second.status.primary && row.second.status.term == highest;
      });
  if (!term_has_primary && !m_primary && highest > 0 &&
      !ReplicaHasPrimaryContact(now)) {
    StartFencing("term_without_primary", now, actions);
  } else if (MajorityOfReplicasLostPrimary(now)) {
    StartFencing("primary_silent", now, actions);
  } else if (ReplicaHasPrimaryContact(now)) {
    ReportPrimaryLost("home_cut_off", /*home_cut_off=*/true, actions);
  } else if (m_primary) {
    ReportPrimaryLost("no_answer", /*home_cut_off=*/false, actions);
    RefreshTargetStatus(now, actions);
  }
}

void FailoverController::MaybeReplacePrimary(
    absl::Time now,
    std::vector<FailoverAction>* actions) {
  // After a change of the primary, the replicas need some time to contact the
  // new one.
  if (now - m_primary_since >= 2 * m_options.suspicion_timeout &&
      MajorityOfReplicasLostPrimary(now)) {
    // The primary answers this instance but can't confirm any write.
    StartFencing("primary_cut_off", now, actions);
    return;
  }
  m_suspect = m_primary->target;
  if (!m_targets[m_primary->target].status.leaving ||
      now < m_earliest_handover || FindSuccessor(now) == nullptr) {
    return;
  }
  m_phase = Phase::kDraining;
  m_phase_ends = now + m_options.drain_timeout;
  m_drain_end = m_targets[m_suspect].status.last;
  m_drain_quiet_since = now;
  actions->push_back(PromotionStep{"drain", "primary_leaving", HighestTerm()});
  ReportPrimaryLost("primary_leaving", /*home_cut_off=*/false, actions);
  RefreshTargetStatus(now, actions);
}

const FailoverController::WatchedTarget* FailoverController::FindSuccessor(
    absl::Time now) const {
  const WatchedTarget* best = nullptr;
  for (const auto& [target, watched] : m_targets) {
    const bool eligible =
        target != m_suspect && !watched.status.primary &&
        !watched.status.leaving && IsFresh(watched, now) &&
        watched.status.since_primary_contact < m_options.suspicion_timeout;
    if (eligible &&
        (best == nullptr || best->status.last < watched.status.last)) {
      best = &watched;
    }
  }
  return best;
}

void FailoverController::MaybeStartHandover(
    absl::Time now,
    std::vector<FailoverAction>* actions) {
  const WatchedTarget& leaving = m_targets[m_suspect];
  if (leaving.status.last != m_drain_end) {
    m_drain_end = leaving.status.last;
    m_drain_quiet_since = now;
  }
  const WatchedTarget* successor = FindSuccessor(now);
  const bool caught_up =
      successor != nullptr && successor->status.last >= m_drain_end;
  const bool quiet = leaving.requested_at - m_drain_quiet_since >=
                     m_options.drain_quiet_period;
  if (caught_up && (quiet || now >= m_phase_ends)) {
    StartFencing("primary_leaving", now, actions);
  } else if (now >= m_phase_ends) {
    // The leaving primary continues to serve until a replica catches up.
    m_earliest_handover = now + 2 * m_options.suspicion_timeout;
    m_phase = Phase::kWatching;
    m_suspect.clear();
    AdoptReportedPrimary(now, actions);
  }
}

TargetId FailoverController::LatestPrimary() const {
  const std::pair<const TargetId, WatchedTarget>* latest = nullptr;
  for (const auto& row : m_targets) {
    if (row.second.status.primary &&
        (latest == nullptr ||
         latest->second.status.term < row.second.status.term)) {
      latest = &row;
    }
  }
  return latest == nullptr ? TargetId() : latest->first;
}

void FailoverController::StartFencing(absl::string_view reason,
                                      absl::Time now,
                                      std::vector<FailoverAction>* actions) {
  m_suspect = LatestPrimary();
  ReportPrimaryLost(reason, /*home_cut_off=*/false, actions);
  m_attempt_term = HighestTerm() + 1;
  m_grants.clear();
  m_phase = Phase::kFencing;
  m_phase_ends = now + m_options.fence_timeout;
  actions->push_back(PromotionStep{"fence", reason, m_attempt_term});
  for (const auto& [target, watched] : m_targets) {
    actions->push_back(FenceTarget{target, m_attempt_term});
  }
}

void FailoverController::ChooseAndPromote(
    absl::Time now,
    std::vector<FailoverAction>* actions) {
  const auto best =
      std::max_element(m_grants.begin(), m_grants.end(),
                       [&](const auto& left, const auto& right) {
                         if (left.second != right.second) {
                           return left.second < right.second;
                         }
                         // Among equal logs, a target that isn't leaving is
                         // preferred: a leaving one would soon have to be
                         // replaced again.
                         return m_targets[left.first].status.leaving &&
                                !m_targets[right.first].status.leaving;
                       });
  m_phase = Phase::kPromoting;
  m_phase_ends = now + m_options.fence_timeout;
  actions->push_back(
      PromotionStep{"promote", "most_advanced_log", m_attempt_term});
  actions->push_back(PromoteTarget{best->first, m_attempt_term});
}

void FailoverController::StartBackoff(absl::string_view reason,
                                      absl::Time now,
                                      std::vector<FailoverAction>* actions) {
  const int64_t milliseconds = absl::uniform_int_distribution<int64_t>(
      absl::ToInt64Milliseconds(m_options.min_backoff),
      absl::ToInt64Milliseconds(m_options.max_backoff))(m_random);
  m_phase = Phase::kBackoff;
  m_phase_ends = now + absl::Milliseconds(milliseconds);
  actions->push_back(PromotionStep{"back_off", reason, HighestTerm()});
  RefreshTargetStatus(now, actions);
}

}  // namespace heatherwick
