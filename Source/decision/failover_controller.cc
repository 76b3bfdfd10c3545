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
    watched[target] = m_targets[target];
  }
  m_targets = std::move(watched);
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
  if (target != m_passed_over) {
    m_grants[target] = last;
  }
  if (m_grants.size() >= Majority()) {
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
    found->second.status.term = std::max(found->second.status.term, term);
    BackOff("higher_term", now, actions);
    return;
  }
  found->second.status.primary = true;
  found->second.status.term = asked_term;
  found->second.answered_at = now;
  m_phase = Phase::kWatching;
  SetPrimary({target, asked_term, "promoted"}, now, actions);
}

void FailoverController::OnTick(absl::Time now,
                                std::vector<FailoverAction>* actions) {
  for (auto& [target, watched] : m_targets) {
    const bool overdue = watched.read_outstanding &&
                         now >= watched.next_read + m_options.status_timeout;
    if ((!watched.read_outstanding && now >= watched.next_read) || overdue) {
      watched.read_outstanding = true;
      watched.next_read = now + m_options.status_period;
      actions->push_back(ReadTargetStatus{target});
    }
  }
  if (m_phase == Phase::kWatching) {
    ConsiderPromotion(now, actions);
    return;
  }
  if (now < m_phase_ends) {
    return;
  }
  switch (m_phase) {
    case Phase::kFencing:
      BackOff("too_few_grants", now, actions);
      break;
    case Phase::kPromoting:
      BackOff("no_answer", now, actions);
      break;
    case Phase::kBackingOff:
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
      watched.read_outstanding = true;
      watched.next_read = now + m_options.status_period;
      actions->push_back(ReadTargetStatus{target});
    }
  }
}

bool FailoverController::IsFresh(const Watched& watched, absl::Time now) const {
  return watched.ever_answered &&
         now - watched.answered_at <= m_options.suspicion_after;
}

uint64_t FailoverController::HighestTerm() const {
  uint64_t highest = m_attempt_term;
  for (const auto& [target, watched] : m_targets) {
    highest = std::max(highest, watched.status.term);
  }
  return highest;
}

void FailoverController::AdoptReportedPrimary(
    absl::Time now,
    std::vector<FailoverAction>* actions) {
  uint64_t highest = 0;
  for (const auto& [target, watched] : m_targets) {
    highest = std::max(highest, watched.status.term);
  }
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
    SetPrimary({target, highest, "reported"}, now, actions);
    return;
  }
  if (m_primary && m_primary->term < highest) {
    LosePrimary("fenced", /*home_cut_off=*/false, actions);
    // Another decider may be about to promote; give it time to finish.
    BackOff("newer_term", now, actions);
  }
}

void FailoverController::SetPrimary(const PrimaryKnown& primary,
                                    absl::Time now,
                                    std::vector<FailoverAction>* actions) {
  m_primary = primary;
  m_primary_since = now;
  m_lost = {};
  actions->push_back(primary);
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

bool FailoverController::MajorityOfReplicasMissPrimary(absl::Time now) const {
  const size_t others = m_targets.size() - 1;
  size_t missing = 0;
  for (const auto& [target, watched] : m_targets) {
    if (IsFresh(watched, now) && !watched.status.primary &&
        watched.status.primary_silent >= m_options.suspicion_after) {
      ++missing;
    }
  }
  return missing >= others / 2 + 1;
}

bool FailoverController::PrimaryIsCutFromReplicas(absl::Time now) const {
  // Replicas need time to find a new primary, and answers from before its
  // promotion still report the silence of the old one.
  return now - m_primary_since >= 2 * m_options.suspicion_after &&
         MajorityOfReplicasMissPrimary(now);
}

bool FailoverController::ReplicaHearsPrimary(absl::Time now) const {
  // A replica that heard the primary about as late as this instance did says
  // nothing about the present.
  absl::Time last_heard = m_watching_since;
  for (const auto& [target, watched] : m_targets) {
    if (watched.status.primary) {
      last_heard = std::max(last_heard, watched.answered_at);
    }
  }
  return std::any_of(m_targets.begin(), m_targets.end(), [&](const auto& row) {
    const Watched& watched = row.second;
    return IsFresh(watched, now) && !watched.status.primary &&
           watched.answered_at - watched.status.primary_silent >
               last_heard + m_options.suspicion_after / 2;
  });
}

void FailoverController::ConsiderPromotion(
    absl::Time now,
    std::vector<FailoverAction>* actions) {
  if (!m_active || m_targets.empty()) {
    return;
  }
  m_passed_over.reset();
  if (m_primary && IsFresh(m_targets[m_primary->target], now)) {
    if (PrimaryIsCutFromReplicas(now)) {
      m_passed_over = m_primary->target;
      StartFencing("primary_cut_from_replicas", now, actions);
    }
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

void FailoverController::StartFencing(absl::string_view reason,
                                      absl::Time now,
                                      std::vector<FailoverAction>* actions) {
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
