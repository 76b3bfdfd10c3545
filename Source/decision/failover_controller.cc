// Suspicion, fencing, choice of the new primary and back-off.

#include "Source/decision/failover_controller.h"

#include <algorithm>

#include "absl/random/uniform_int_distribution.h"

namespace heatherwick {

FailoverController::FailoverController(FailoverOptions options,
                                       absl::BitGenRef random)
    : m_options(options), m_random(random) {}

void FailoverController::OnGroup(const std::vector<TargetId>& targets,
                                 absl::Time now) {
  std::map<TargetId, Watched> watched;
  for (const TargetId& target : targets) {
    const auto known = m_targets.find(target);
    watched[target] = known == m_targets.end() ? Watched() : known->second;
  }
  const bool changed =
      watched.size() != m_targets.size() ||
      !std::equal(watched.begin(), watched.end(), m_targets.begin(),
                  [](const auto& left, const auto& right) {
                    return left.first == right.first;
                  });
  m_targets = std::move(watched);
  if (changed && m_phase != Phase::kWatching) {
    // Grants of another set of targets prove no majority of this one.
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
  Watched& watched = found->second;
  watched.read_outstanding = false;
  // Answers may arrive out of order; the term of a target never falls.
  if (watched.ever_answered && status.term < watched.status.term) {
    return;
  }
  watched.status = status;
  watched.ever_answered = true;
  watched.answered_at = now;
  if (m_phase == Phase::kWatching || m_phase == Phase::kBackingOff) {
    AdoptReportedPrimary(now, actions);
  } else if (m_phase == Phase::kDraining) {
    ConsiderHandover(now, actions);
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
    ConsiderPromotion(now, actions);
  }
}

void FailoverController::OnFenceReply(const TargetId& target,
                                      uint64_t asked_term,
                                      bool granted,
                                      uint64_t term,
                                      Position last,
                                      absl::Time now,
                                      std::vector<FailoverAction>* actions) {
  const auto found = m_targets.find(target);
  if (found == m_targets.end() || m_phase != Phase::kFencing ||
      asked_term != m_attempt_term) {
    return;
  }
  TargetStatus& status = found->second.status;
  if (term > status.term) {
    status.term = term;
    status.primary = false;
  }
  if (!granted) {
    BackOff("higher_term", now, actions);
    return;
  }
  status.last = last;
  m_grants[target] = last;
  const size_t unsuspected = m_grants.size() - m_grants.count(m_suspect);
  if (unsuspected >= Majority()) {
    // These are a majority by themselves, so their most advanced log has all
    // that was acknowledged. The suspect's log may be longer.
    m_grants.erase(m_suspect);
    ChooseAndPromote(now, actions);
  }
}

void FailoverController::OnPromoteReply(const TargetId& target,
                                        uint64_t asked_term,
                                        bool promoted,
                                        uint64_t term,
                                        absl::Time now,
                                        std::vector<FailoverAction>* actions) {
  const auto found = m_targets.find(target);
  if (found == m_targets.end() || m_phase != Phase::kPromoting ||
      asked_term != m_attempt_term) {
    return;
  }
  if (!promoted) {
    TargetStatus& status = found->second.status;
    if (term > status.term) {
      status.term = term;
      status.primary = false;
    }
    BackOff("higher_term", now, actions);
    return;
  }
  found->second.status.primary = true;
  found->second.status.term = asked_term;
  found->second.answered_at = now;
  m_phase = Phase::kWatching;
  TakePrimary({target, asked_term, "promoted"}, now, actions);
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
    ConsiderPromotion(now, actions);
    return;
  }
  if (m_phase == Phase::kDraining) {
    OnPrimaryDoubted(now, actions);
    ConsiderHandover(now, actions);
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
        BackOff("too_few_grants", now, actions);
      }
      break;
    case Phase::kPromoting:
      BackOff("no_answer", now, actions);
      break;
    case Phase::kBackingOff:
    case Phase::kDraining:
    case Phase::kWatching:
      m_phase = Phase::kWatching;
      AdoptReportedPrimary(now, actions);
      ConsiderPromotion(now, actions);
      break;
  }
}

void FailoverController::OnPrimaryDoubted(
    absl::Time now,
    std::vector<FailoverAction>* actions) {
  for (auto& [target, watched] : m_targets) {
    if (!watched.read_outstanding) {
      ReadStatus(target, &watched, now, actions);
    }
  }
}

void FailoverController::ReadStatus(const TargetId& target,
                                    Watched* watched,
                                    absl::Time now,
                                    std::vector<FailoverAction>* actions) {
  watched->read_outstanding = true;
  watched->asked_at = now;
  watched->next_read = now + m_options.status_period;
  actions->push_back(ReadTargetStatus{target});
}

void FailoverController::TakePrimary(const PrimaryKnown& primary,
                                     absl::Time now,
                                     std::vector<FailoverAction>* actions) {
  m_primary = primary;
  m_primary_since = now;
  m_lost = {};
  actions->push_back(primary);
}

bool FailoverController::IsFresh(const Watched& watched, absl::Time now) const {
  return watched.ever_answered &&
         now - watched.answered_at <= m_options.suspicion_after;
}

uint64_t FailoverController::HighestTerm() const {
  return std::max(m_attempt_term, HighestReportedTerm());
}

void FailoverController::AdoptReportedPrimary(
    absl::Time now,
    std::vector<FailoverAction>* actions) {
  const uint64_t highest = HighestReportedTerm();
  for (const auto& [target, watched] : m_targets) {
    // A primary of a lower term has lost some target to a newer decider and
    // may be replaced at any time.
    if (!watched.status.primary || watched.status.term != highest ||
        !IsFresh(watched, now)) {
      continue;
    }
    m_phase = Phase::kWatching;
    if (m_primary && m_primary->target == target &&
        m_primary->term == highest) {
      return;
    }
    TakePrimary({target, highest, "reported"}, now, actions);
    return;
  }
  if (m_primary && m_primary->term < highest) {
    LosePrimary("fenced", /*home_cut_off=*/false, actions);
    // Another decider may be about to promote; give it time to finish.
    BackOff("newer_term", now, actions);
  } else if (m_primary && HasLostRole(m_targets[m_primary->target])) {
    LosePrimary("role_lost", /*home_cut_off=*/false, actions);
    BackOff("role_lost", now, actions);
  }
}

bool FailoverController::HasLostRole(const Watched& primary) const {
  // An answer that was asked for earlier may date from before the promotion.
  return !primary.status.primary && primary.status.term == m_primary->term &&
         primary.asked_at > m_primary_since;
}

void FailoverController::LosePrimary(absl::string_view reason,
                                     bool home_cut_off,
                                     std::vector<FailoverAction>* actions) {
  const std::pair<bool, bool> state = {true, home_cut_off};
  if (!m_primary && m_lost == state) {
    return;
  }
  m_primary.reset();
  m_lost = state;
  actions->push_back(PrimaryLost{reason, home_cut_off});
}

uint64_t FailoverController::HighestReportedTerm() const {
  uint64_t highest = 0;
  for (const auto& [target, watched] : m_targets) {
    highest = std::max(highest, watched.status.term);
  }
  return highest;
}

bool FailoverController::MajorityOfReplicasMissPrimary(absl::Time now) const {
  const uint64_t highest = HighestReportedTerm();
  const size_t others = m_targets.size() - 1;
  size_t missing = 0;
  for (const auto& [target, watched] : m_targets) {
    // One that believes that it leads in an older term follows nobody.
    const bool misses =
        watched.status.primary
            ? watched.status.term < highest
            : watched.status.primary_silent >= m_options.suspicion_after;
    if (IsFresh(watched, now) && misses) {
      ++missing;
    }
  }
  return missing >= others / 2 + 1;
}

bool FailoverController::ReplicaHearsPrimary(absl::Time now) const {
  const uint64_t highest = HighestReportedTerm();
  // A replica that heard the primary about as late as this instance did says
  // nothing about the present.
  absl::Time last_heard = m_watching_since;
  for (const auto& [target, watched] : m_targets) {
    if (watched.status.primary && watched.status.term == highest) {
      last_heard = std::max(last_heard, watched.answered_at);
    }
  }
  return std::any_of(m_targets.begin(), m_targets.end(), [&](const auto& row) {
    const Watched& watched = row.second;
    const TargetStatus& status = watched.status;
    return IsFresh(watched, now) && !status.primary && status.term == highest &&
           status.primary_silent < m_options.suspicion_after &&
           watched.answered_at - status.primary_silent >
               last_heard + m_options.suspicion_after / 2;
  });
}

void FailoverController::ConsiderPromotion(
    absl::Time now,
    std::vector<FailoverAction>* actions) {
  if (!m_active || m_targets.empty()) {
    return;
  }
  if (m_primary && IsFresh(m_targets[m_primary->target], now)) {
    ConsiderReplacement(now, actions);
    return;
  }
  if (now - m_watching_since < m_options.suspicion_after) {
    return;  // The first answers may still be on their way.
  }
  const auto fresh = static_cast<size_t>(
      std::count_if(m_targets.begin(), m_targets.end(),
                    [&](const auto& row) { return IsFresh(row.second, now); }));
  if (fresh < Majority()) {
    LosePrimary("no_majority", /*home_cut_off=*/true, actions);
    return;
  }
  const uint64_t highest = HighestTerm();
  const bool led =
      std::any_of(m_targets.begin(), m_targets.end(), [&](const auto& row) {
        return row.second.status.primary && row.second.status.term == highest;
      });
  if (!led && !m_primary && highest > 0 && !ReplicaHearsPrimary(now)) {
    StartFencing("term_without_primary", now, actions);
  } else if (MajorityOfReplicasMissPrimary(now)) {
    StartFencing("primary_silent", now, actions);
  } else if (ReplicaHearsPrimary(now)) {
    LosePrimary("home_cut_off", /*home_cut_off=*/true, actions);
  } else if (m_primary) {
    LosePrimary("no_answer", /*home_cut_off=*/false, actions);
    OnPrimaryDoubted(now, actions);
  }
}

void FailoverController::ConsiderReplacement(
    absl::Time now,
    std::vector<FailoverAction>* actions) {
  // The replicas of a new primary need some time to find it.
  if (now - m_primary_since >= 2 * m_options.suspicion_after &&
      MajorityOfReplicasMissPrimary(now)) {
    // It answers here but can confirm nothing.
    StartFencing("primary_cut_off", now, actions);
    return;
  }
  m_suspect = m_primary->target;
  if (!m_targets[m_primary->target].status.leaving || now < m_next_handover ||
      FindSuccessor(now) == nullptr) {
    return;
  }
  m_phase = Phase::kDraining;
  m_phase_ends = now + m_options.drain_limit;
  m_drain_end = m_targets[m_suspect].status.last;
  m_drain_quiet_since = now;
  actions->push_back(PromotionStep{"drain", "primary_leaving", HighestTerm()});
  LosePrimary("primary_leaving", /*home_cut_off=*/false, actions);
  OnPrimaryDoubted(now, actions);
}

const FailoverController::Watched* FailoverController::FindSuccessor(
    absl::Time now) const {
  const Watched* best = nullptr;
  for (const auto& [target, watched] : m_targets) {
    const bool fit = target != m_suspect && !watched.status.primary &&
                     !watched.status.leaving && IsFresh(watched, now) &&
                     watched.status.primary_silent < m_options.suspicion_after;
    if (fit && (best == nullptr || best->status.last < watched.status.last)) {
      best = &watched;
    }
  }
  return best;
}

void FailoverController::ConsiderHandover(
    absl::Time now,
    std::vector<FailoverAction>* actions) {
  const Watched& leaving = m_targets[m_suspect];
  if (leaving.status.last != m_drain_end) {
    m_drain_end = leaving.status.last;
    m_drain_quiet_since = now;
  }
  const Watched* successor = FindSuccessor(now);
  const bool caught_up =
      successor != nullptr && successor->status.last >= m_drain_end;
  const bool quiet =
      leaving.asked_at - m_drain_quiet_since >= m_options.drain_quiet;
  if (caught_up && (quiet || now >= m_phase_ends)) {
    StartFencing("primary_leaving", now, actions);
  } else if (now >= m_phase_ends) {
    // Service goes on at the leaving primary until a replica catches up.
    m_next_handover = now + 2 * m_options.suspicion_after;
    m_phase = Phase::kWatching;
    m_suspect.clear();
    AdoptReportedPrimary(now, actions);
  }
}

TargetId FailoverController::LatestPrimary() const {
  const std::pair<const TargetId, Watched>* latest = nullptr;
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
  LosePrimary(reason, /*home_cut_off=*/false, actions);
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
                         // A leaving target would have to be replaced again
                         // soon.
                         return m_targets[left.first].status.leaving &&
                                !m_targets[right.first].status.leaving;
                       });
  m_phase = Phase::kPromoting;
  m_phase_ends = now + m_options.fence_timeout;
  actions->push_back(
      PromotionStep{"promote", "most_advanced_log", m_attempt_term});
  actions->push_back(PromoteTarget{best->first, m_attempt_term});
}

void FailoverController::BackOff(absl::string_view reason,
                                 absl::Time now,
                                 std::vector<FailoverAction>* actions) {
  const int64_t milliseconds = absl::uniform_int_distribution<int64_t>(
      absl::ToInt64Milliseconds(m_options.lowest_back_off),
      absl::ToInt64Milliseconds(m_options.highest_back_off))(m_random);
  m_phase = Phase::kBackingOff;
  m_phase_ends = now + absl::Milliseconds(milliseconds);
  actions->push_back(PromotionStep{"back_off", reason, HighestTerm()});
  OnPrimaryDoubted(now, actions);
}

}  // namespace heatherwick
