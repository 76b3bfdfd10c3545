// Execution, replication and crashes of the fake target.

#include "Source/load/fake_target.h"

#include <algorithm>
#include <utility>

namespace heatherwick {
namespace {

// Limits the memory of the log's history, and thereby the greatest lag that an
// experiment can use.
constexpr size_t kMaxHistoryEntries = 100000;

}  // namespace

FakeTarget::FakeTarget(TargetId id, uint32_t slots, EventQueue* events)
    : m_id(std::move(id)),
      m_slots(slots),
      m_events(events),
      m_complete_until(events->Now()),
      m_last_primary_contact(events->Now()) {}

absl::Duration FakeTarget::Age() const {
  return m_primary ? absl::ZeroDuration() : m_events->Now() - m_complete_until;
}

bool FakeTarget::Accepts(const FakeStatement& statement) const {
  if (m_running_statements >= m_slots) {
    return false;  // The home must not start more statements than slots.
  }
  if (statement.request_class != RequestClass::kBoundedStalenessRead) {
    return m_primary && statement.term == m_term;
  }
  return m_primary || (Age() <= statement.max_age &&
                       m_last_position >= statement.min_position);
}

void FakeTarget::Execute(const FakeStatement& statement, ReplyHandler reply) {
  if (m_crashed) {
    return;
  }
  m_max_concurrent_statements =
      std::max(m_max_concurrent_statements, m_running_statements + 1);
  if (!Accepts(statement)) {
    reply({StatementEnd::kRefused, {}});
    return;
  }
  ++m_running_statements;
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
  --m_running_statements;
  const bool needs_primary =
      statement.request_class != RequestClass::kBoundedStalenessRead;
  if (needs_primary && (!m_primary || statement.term != m_term)) {
    reply({StatementEnd::kLost, {}});
    return;
  }
  if (statement.request_class == RequestClass::kWrite) {
    Append();
  }
  reply({StatementEnd::kRan, m_last_position});
}

void FakeTarget::Append() {
  m_last_position = {m_term, m_last_position.lsn + 1};
  m_history.push_back({m_events->Now(), m_last_position});
  if (m_history.size() > kMaxHistoryEntries) {
    m_history.pop_front();
  }
}

Position FakeTarget::LastPositionAt(absl::Time time) const {
  const auto after = std::upper_bound(
      m_history.begin(), m_history.end(), time,
      [](absl::Time searched, const LogEnd& end) { return searched < end.at; });
  return after == m_history.begin() ? Position{} : std::prev(after)->position;
}

TargetStatus FakeTarget::Status() const {
  TargetStatus status;
  status.incarnation = m_id;
  status.term = m_term;
  status.primary = m_primary;
  status.last = m_last_position;
  status.age = Age();
  status.since_primary_contact = m_primary
                                     ? absl::ZeroDuration()
                                     : m_events->Now() - m_last_primary_contact;
  return status;
}

bool FakeTarget::Fence(uint64_t term) {
  if (term <= m_term) {
    return false;
  }
  m_term = term;
  m_primary = false;
  ReplyToWaits();
  return true;
}

bool FakeTarget::Promote(uint64_t term) {
  if (term != m_term) {
    return false;
  }
  BecomePrimary(term);
  return true;
}

void FakeTarget::BecomePrimary(uint64_t term) {
  m_term = term;
  m_primary = true;
  Append();
}

void FakeTarget::Pull(const FakeTarget& primary, absl::Duration lag) {
  if (m_crashed || primary.Term() < m_term) {
    return;
  }
  m_term = primary.Term();
  m_last_primary_contact = m_events->Now();
  m_complete_until = std::max(m_complete_until, m_events->Now() - lag);
  const Position pulled = primary.LastPositionAt(m_events->Now() - lag);
  m_last_position = std::max(m_last_position, pulled);
  ReplyToWaits();
}

void FakeTarget::WaitPosition(Position position,
                              absl::Duration timeout,
                              PositionHandler reply) {
  m_waits.push_back({position, m_events->Now() + timeout, std::move(reply)});
  ReplyToWaits();
}

void FakeTarget::ReplyToWaits() {
  if (m_crashed) {
    return;
  }
  std::vector<PositionWait> waits = std::move(m_waits);
  m_waits.clear();
  for (PositionWait& wait : waits) {
    const bool finished = m_last_position >= wait.position ||
                          m_term > wait.position.term ||
                          m_events->Now() >= wait.deadline;
    if (finished) {
      wait.reply(m_term, m_last_position);
    } else {
      m_waits.push_back(std::move(wait));
    }
  }
}

void FakeTarget::Crash() {
  m_crashed = true;
  m_primary = false;
  m_running_statements = 0;
}

}  // namespace heatherwick
