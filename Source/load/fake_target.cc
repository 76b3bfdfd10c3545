// Execution, replication and faults of the in-process target.

#include "Source/load/fake_target.h"

#include <algorithm>
#include <utility>

namespace heatherwick {
namespace {

// Longest lag that an experiment can ask for.
constexpr size_t kMaxHistory = 100000;

}  // namespace

FakeTarget::FakeTarget(TargetId id, uint32_t slots, EventQueue* events)
    : m_id(std::move(id)),
      m_slots(slots),
      m_events(events),
      m_complete_at(events->Now()),
      m_heard_at(events->Now()) {}

absl::Duration FakeTarget::Age() const {
  return m_primary ? absl::ZeroDuration() : m_events->Now() - m_complete_at;
}

bool FakeTarget::Accepts(const FakeStatement& statement) const {
  if (m_statements >= m_slots) {
    return false;  // The home promised to stay within the slots.
  }
  if (statement.request_class != RequestClass::kAgedRead) {
    return m_primary && statement.term == m_term;
  }
  return m_primary ||
         (Age() <= statement.max_age && m_last >= statement.min_position);
}

void FakeTarget::Execute(const FakeStatement& statement, ReplyHandler reply) {
  if (m_crashed) {
    return;
  }
  m_most_statements = std::max(m_most_statements, m_statements + 1);
  if (!Accepts(statement)) {
    reply({StatementEnd::kRefused, {}});
    return;
  }
  ++m_statements;
  m_events->After(statement.service,
                  [this, statement, reply = std::move(reply)]() {
                    Complete(statement, reply);
                  });
}

void FakeTarget::Complete(const FakeStatement& statement,
                          const ReplyHandler& reply) {
  if (m_crashed) {
    return;
  }
  --m_statements;
  const bool needs_primary = statement.request_class != RequestClass::kAgedRead;
  if (needs_primary && (!m_primary || statement.term != m_term)) {
    reply({StatementEnd::kLost, {}});
    return;
  }
  if (statement.request_class == RequestClass::kWrite) {
    Append();
  }
  reply({StatementEnd::kRan, m_last});
}

void FakeTarget::Append() {
  m_last = {m_term, m_last.lsn + 1};
  m_history.push_back({m_events->Now(), m_last});
  if (m_history.size() > kMaxHistory) {
    m_history.pop_front();
  }
}

Position FakeTarget::LastAt(absl::Time time) const {
  const auto after = std::upper_bound(
      m_history.begin(), m_history.end(), time,
      [](absl::Time sought, const LogEnd& end) { return sought < end.at; });
  return after == m_history.begin() ? Position{} : std::prev(after)->position;
}

TargetStatus FakeTarget::Status() const {
  TargetStatus status;
  status.incarnation = m_id;
  status.term = m_term;
  status.primary = m_primary;
  status.last = m_last;
  status.age = Age();
  status.primary_silent =
      m_primary ? absl::ZeroDuration() : m_events->Now() - m_heard_at;
  return status;
}

bool FakeTarget::Fence(uint64_t term) {
  if (term <= m_term) {
    return false;
  }
  m_term = term;
  m_primary = false;
  AnswerWaits();
  return true;
}

bool FakeTarget::Promote(uint64_t term) {
  if (term != m_term) {
    return false;
  }
  BecomeFirstPrimary(term);
  return true;
}

void FakeTarget::BecomeFirstPrimary(uint64_t term) {
  m_term = term;
  m_primary = true;
  Append();
}

void FakeTarget::Pull(const FakeTarget& primary, absl::Duration lag) {
  if (m_crashed || primary.Term() < m_term) {
    return;
  }
  m_term = primary.Term();
  m_heard_at = m_events->Now();
  m_complete_at = std::max(m_complete_at, m_events->Now() - lag);
  const Position pulled = primary.LastAt(m_events->Now() - lag);
  m_last = std::max(m_last, pulled);
  AnswerWaits();
}

void FakeTarget::WaitPosition(Position position,
                              absl::Duration timeout,
                              PositionHandler reply) {
  m_waits.push_back({position, m_events->Now() + timeout, std::move(reply)});
  AnswerWaits();
}

void FakeTarget::AnswerWaits() {
  if (m_crashed) {
    return;
  }
  std::vector<PositionWait> waits = std::move(m_waits);
  m_waits.clear();
  for (PositionWait& wait : waits) {
    const bool over = m_last >= wait.position || m_term > wait.position.term ||
                      m_events->Now() >= wait.until;
    if (over) {
      wait.reply(m_term, m_last);
    } else {
      m_waits.push_back(std::move(wait));
    }
  }
}

void FakeTarget::Crash() {
  m_crashed = true;
  m_primary = false;
  m_statements = 0;
}

}  // namespace heatherwick
