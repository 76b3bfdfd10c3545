// Implements the fake database of a group.

#include "Tests/scenarios/fake_target.h"

#include <algorithm>

namespace heatherwick {

FakeTarget::FakeTarget(bool primary, absl::Time now, const PlatformRules& rules)
    : m_rules(rules), m_primary(primary), m_last_primary_contact(now) {
  if (primary) {
    Append("", false, 0, now);
  }
}

Position FakeTarget::End() const {
  return m_log.empty() ? Position{} : m_log.back().position;
}

bool FakeTarget::Contains(Position position) const {
  return position.lsn == 0 ||
         (position.lsn <= m_log.size() &&
          m_log[position.lsn - 1].position.term == position.term);
}

const FakeEntry* FakeTarget::FindKey(const std::string& key) const {
  const auto found =
      std::find_if(m_log.begin(), m_log.end(),
                   [&](const FakeEntry& entry) { return entry.key == key; });
  return key.empty() || found == m_log.end() ? nullptr : &*found;
}

void FakeTarget::Append(const std::string& key,
                        bool refused,
                        uint64_t write,
                        absl::Time now) {
  m_log.push_back({{m_term, m_log.size() + 1}, key, refused, write, now});
}

FakeReply FakeTarget::Write(uint64_t term,
                            const std::string& key,
                            uint64_t write,
                            absl::Time now) {
  FakeReply reply;
  if (!m_primary || term != m_term) {
    return reply;
  }
  const FakeEntry* known = m_rules.checks_keys ? FindKey(key) : nullptr;
  if (known == nullptr) {
    Append(key, false, write, now);
  }
  reply.ran = true;
  reply.at_primary = true;
  reply.repeated = known != nullptr && !known->refused;
  reply.key_refused = known != nullptr && known->refused;
  reply.log_end = End();
  return reply;
}

FakeReply FakeTarget::Resolve(uint64_t term,
                              const std::string& key,
                              absl::Time now) {
  FakeReply reply;
  if (!m_primary || term != m_term) {
    return reply;
  }
  if (FindKey(key) == nullptr) {
    Append(key, true, 0, now);
  }
  reply.ran = true;
  reply.at_primary = true;
  reply.key_refused = FindKey(key)->refused;
  reply.repeated = !reply.key_refused;
  reply.log_end = End();
  return reply;
}

FakeReply FakeTarget::Read(uint64_t term,
                           Position min_position,
                           absl::Duration max_age,
                           absl::Time now) const {
  FakeReply reply;
  const bool can_serve = term == 0
                             ? m_primary || now - m_current_as_of <= max_age
                             : m_primary && term == m_term;
  if (!can_serve || (m_rules.checks_position && !Contains(min_position))) {
    return reply;
  }
  reply.ran = true;
  reply.at_primary = m_primary;
  reply.log_end = End();
  for (const FakeEntry& entry : m_log) {
    reply.writes.insert(entry.write);
  }
  return reply;
}

FakeFenceReply FakeTarget::Fence(uint64_t term, const std::string& decider) {
  if (term > m_term) {
    m_term = term;
    m_decider = decider;
    m_primary = false;
    m_current_as_of = absl::InfinitePast();
  }
  const bool granted =
      term == m_term &&
      (!m_rules.grants_once ||
       (decider == m_decider && m_last_followed_term < m_term));
  return {granted, m_term, End()};
}

FakeFenceReply FakeTarget::Promote(uint64_t term,
                                   const std::string& decider,
                                   absl::Time now) {
  const bool granted =
      term == m_term &&
      (!m_rules.grants_once ||
       (decider == m_decider && m_last_followed_term < m_term));
  if (granted && !m_primary) {
    m_primary = true;
    Append("", false, 0, now);
  }
  return {granted, m_term, End()};
}

TargetStatus FakeTarget::Status(absl::Time now) const {
  TargetStatus status;
  status.term = m_term;
  status.primary = m_primary;
  status.last = End();
  status.age = m_primary ? absl::ZeroDuration() : now - m_current_as_of;
  status.since_primary_contact =
      m_primary ? absl::ZeroDuration() : now - m_last_primary_contact;
  status.leaving = m_leaving;
  return status;
}

FakePullReply FakeTarget::AnswerPull(uint64_t term,
                                     const std::vector<FakeEntry>& log,
                                     absl::Duration lag,
                                     absl::Time now) const {
  FakePullReply pull;
  pull.term = m_term;
  pull.primary = m_primary && term <= m_term;
  if (!pull.primary) {
    return pull;
  }
  while (pull.truncate_to < std::min(log.size(), m_log.size()) &&
         log[pull.truncate_to].position == m_log[pull.truncate_to].position) {
    ++pull.truncate_to;
  }
  size_t end = pull.truncate_to;
  while (end < m_log.size() && m_log[end].appended_at + lag <= now) {
    pull.entries.push_back(m_log[end++]);
  }
  pull.complete = end == m_log.size();
  return pull;
}

void FakeTarget::OnPullReply(const FakePullReply& pull,
                             absl::Time started,
                             absl::Time now) {
  if (!pull.primary || pull.term < m_term ||
      (pull.term == m_term && m_primary)) {
    return;
  }
  if (pull.term > m_term) {
    m_term = pull.term;
    m_decider.clear();
    m_primary = false;
  }
  m_last_followed_term = m_term;
  m_last_primary_contact = now;
  m_log.resize(std::min(m_log.size(), pull.truncate_to));
  m_log.insert(m_log.end(), pull.entries.begin(), pull.entries.end());
  if (pull.complete) {
    m_current_as_of = started;
  }
}

}  // namespace heatherwick
