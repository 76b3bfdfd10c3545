// Implements the state machine of the stand-in database.

#include "Tests/StandIns/target_state.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "absl/strings/str_cat.h"

namespace heatherwick {

namespace {

constexpr uint64_t kMaxEntriesPerPull = 1000;

uint32_t ToMilliseconds(absl::Duration duration) {
  constexpr int64_t kHighest = std::numeric_limits<uint32_t>::max();
  const int64_t ms = absl::ToInt64Milliseconds(duration);
  return static_cast<uint32_t>(std::clamp<int64_t>(ms, 0, kHighest));
}

void Refuse(proto::Refusal refusal,
            const std::string& message,
            proto::StatementReply* reply) {
  reply->set_refusal(refusal);
  reply->set_message(message);
}

}  // namespace

TargetState::TargetState(std::string id, bool primary_at_start, absl::Time now)
    : m_id(std::move(id)), m_last_primary_contact(now) {
  if (primary_at_start) {
    EnterTerm(1, "start");
    m_primary = true;
    proto::StatementReply ignored;
    Commit("", false, "", {}, now, &ignored);
  }
}

void TargetState::EnterTerm(uint64_t term, const std::string& decider) {
  if (m_primary) {
    // Another target may have been primary for some time already, so the age
    // of the data here is unknown.
    m_current_as_of = absl::InfinitePast();
  }
  m_term = term;
  m_decider = decider;
  m_primary = false;
  m_followed_primary.clear();
}

void TargetState::ApplyDueEntries(absl::Time now) {
  m_log.ApplyReceivedUntil(m_primary ? absl::InfiniteFuture() : now - m_lag);
}

absl::Duration TargetState::UpdateDataAge(absl::Time now) {
  if (m_primary) {
    return absl::ZeroDuration();
  }
  ApplyDueEntries(now);
  const uint64_t applied = m_log.AppliedEnd().lsn();
  while (!m_complete_pulls.empty() && m_complete_pulls.front().lsn <= applied) {
    m_current_as_of = m_complete_pulls.front().started;
    m_complete_pulls.pop_front();
  }
  return now - m_current_as_of;
}

bool TargetState::CheckPrimary(const proto::StatementRequest& request,
                               proto::StatementReply* reply) const {
  if (!m_primary) {
    Refuse(proto::NOT_PRIMARY, absl::StrCat(m_id, " is not primary"), reply);
  } else if (request.term() != m_term) {
    Refuse(proto::TERM_FENCED,
           absl::StrCat("term is ", m_term, ", not ", request.term()), reply);
  }
  return reply->refusal() == proto::REFUSAL_NONE;
}

void TargetState::CheckRead(const proto::StatementRequest& request,
                            absl::Time now,
                            proto::StatementReply* reply) {
  const absl::Duration age = UpdateDataAge(now);
  ApplyDueEntries(now);
  reply->set_age_ms(ToMilliseconds(age));
  if (request.has_max_age() && age > absl::Milliseconds(request.max_age_ms())) {
    Refuse(proto::TOO_OLD, absl::StrCat("age is ", reply->age_ms(), " ms"),
           reply);
  } else if (!m_log.AppliedContains(request.min_position())) {
    Refuse(proto::BEHIND_POSITION, "the applied log lacks the position", reply);
  }
}

void TargetState::Check(const proto::StatementRequest& request,
                        TargetSession* session,
                        absl::Time now,
                        proto::StatementReply* reply) {
  if (session->in_transaction && (!m_primary || session->term != m_term)) {
    *session = TargetSession();
    Refuse(proto::NO_TRANSACTION, "the transaction ended with its term", reply);
    return;
  }
  reply->set_in_transaction(session->in_transaction);
  if (request.operation() == proto::READ) {
    CheckRead(request, now, reply);
  } else if (request.operation() != proto::ROLLBACK) {
    CheckPrimary(request, reply);
  }
}

bool TargetState::ReplyIfKeyKnown(const std::string& key,
                                  proto::StatementReply* reply) const {
  const proto::LogEntry* entry = m_log.FindKey(key);
  if (entry == nullptr) {
    return false;
  }
  // The entry may be of an older term. The log end is of the current term, and
  // once it is confirmed, all entries before it are confirmed too.
  *reply->mutable_position() = m_log.End();
  if (entry->key_refused()) {
    Refuse(proto::KEY_REFUSED,
           "the key was resolved: its statement did not run and will not run",
           reply);
  } else {
    reply->set_repeated(true);
    reply->set_result(entry->result());
  }
  return true;
}

void TargetState::Commit(const std::string& key,
                         bool key_refused,
                         const std::string& result,
                         const Writes& writes,
                         absl::Time now,
                         proto::StatementReply* reply) {
  proto::LogEntry entry;
  entry.mutable_position()->set_term(m_term);
  entry.mutable_position()->set_lsn(m_log.End().lsn() + 1);
  entry.set_key(key);
  entry.set_key_refused(key_refused);
  entry.set_result(result);
  entry.mutable_writes()->insert(writes.begin(), writes.end());
  m_log.Append(entry, now);
  ApplyDueEntries(now);
  reply->set_result(result);
  *reply->mutable_position() = entry.position();
}

std::string TargetState::RunSteps(const Statement& statement,
                                  TargetSession* session) {
  const auto read = [this, session](const std::string& key) {
    const TargetLog::Row row = m_log.Read(key);
    session->reads.emplace(key, row.lsn);
    return row.value;
  };
  return RunStatement(statement, read, &session->writes);
}

bool TargetState::HasConflict(const TargetSession& session) const {
  return std::any_of(session.reads.begin(), session.reads.end(),
                     [this](const auto& read) {
                       return m_log.Read(read.first).lsn != read.second;
                     });
}

void TargetState::RunCommit(const proto::StatementRequest& request,
                            TargetSession* session,
                            absl::Time now,
                            proto::StatementReply* reply) {
  const TargetSession ended = std::exchange(*session, TargetSession());
  if (ReplyIfKeyKnown(request.key(), reply)) {
    return;
  }
  if (!ended.in_transaction) {
    Refuse(proto::NO_TRANSACTION, "no transaction is open", reply);
  } else if (HasConflict(ended)) {
    Refuse(proto::FAILED,
           "rolled back: a row that the transaction read has changed", reply);
  } else {
    Commit(request.key(), false, "OK", ended.writes, now, reply);
  }
}

void TargetState::Run(const proto::StatementRequest& request,
                      const Statement& statement,
                      TargetSession* session,
                      absl::Time now,
                      proto::StatementReply* reply) {
  Check(request, session, now, reply);
  if (reply->refusal() != proto::REFUSAL_NONE) {
    return;
  }
  TargetSession autocommit;
  if (request.resolve()) {
    if (!ReplyIfKeyKnown(request.key(), reply)) {
      Commit(request.key(), true, "", {}, now, reply);
      Refuse(proto::KEY_REFUSED,
             "the key is resolved: its statement did not run and will not run",
             reply);
    }
  } else if (request.operation() == proto::BEGIN) {
    *session = TargetSession();
    session->in_transaction = true;
    session->term = m_term;
  } else if (request.operation() == proto::COMMIT) {
    RunCommit(request, session, now, reply);
  } else if (request.operation() == proto::ROLLBACK) {
    *session = TargetSession();
  } else if (session->in_transaction) {
    reply->set_result(RunSteps(statement, session));
    *reply->mutable_position() = m_log.AppliedEnd();
  } else if (request.operation() == proto::READ) {
    reply->set_result(RunSteps(statement, &autocommit));
    *reply->mutable_position() = m_log.AppliedEnd();
  } else if (!ReplyIfKeyKnown(request.key(), reply)) {
    const std::string result = RunSteps(statement, &autocommit);
    Commit(request.key(), false, result, autocommit.writes, now, reply);
  }
  reply->set_in_transaction(session->in_transaction);
}

void TargetState::Fence(const proto::FenceRequest& request,
                        proto::FenceReply* reply) {
  if (request.term() > m_term) {
    EnterTerm(request.term(), request.decider());
  }
  reply->set_granted(request.term() == m_term &&
                     request.decider() == m_decider && !m_decider.empty());
  reply->set_term(m_term);
  *reply->mutable_last() = m_log.End();
}

void TargetState::Promote(const proto::PromoteRequest& request,
                          absl::Time now,
                          proto::PromoteReply* reply) {
  // A target that already follows another primary of this term must not become
  // a second primary of the term.
  if (request.term() == m_term && request.decider() == m_decider &&
      !m_decider.empty() && m_followed_primary.empty()) {
    reply->set_promoted(true);
    if (!m_primary) {
      m_primary = true;
      m_complete_pulls.clear();
      proto::StatementReply ignored;
      Commit("", false, "", {}, now, &ignored);
    }
  }
  reply->set_term(m_term);
  *reply->mutable_last() = m_log.End();
}

void TargetState::FillStatus(absl::Time now, proto::StatusReply* reply) {
  reply->set_target(m_id);
  reply->set_term(m_term);
  reply->set_decider(m_decider);
  reply->set_primary(m_primary);
  *reply->mutable_last() = m_log.End();
  *reply->mutable_applied() = m_log.AppliedEnd();
  reply->set_age_ms(ToMilliseconds(UpdateDataAge(now)));
  if (!m_primary) {
    reply->set_primary_silent_ms(ToMilliseconds(now - m_last_primary_contact));
  }
}

proto::PullRequest TargetState::MakePullRequest() const {
  proto::PullRequest request;
  request.set_target(m_id);
  request.set_term(m_term);
  for (const proto::Position& end : m_log.TermEnds()) {
    *request.add_ends() = end;
  }
  return request;
}

void TargetState::AnswerPull(const proto::PullRequest& request,
                             proto::PullReply* reply) const {
  reply->set_term(m_term);
  reply->set_primary(m_primary && request.term() <= m_term);
  if (!reply->primary()) {
    return;
  }
  const uint64_t common = m_log.CommonPrefixLength(request);
  const uint64_t end = std::min(m_log.End().lsn(), common + kMaxEntriesPerPull);
  reply->set_truncate_to(common);
  for (uint64_t lsn = common + 1; lsn <= end; ++lsn) {
    *reply->add_entries() = m_log.EntryAt(lsn);
  }
  reply->set_complete(end == m_log.End().lsn());
}

void TargetState::OnPullReply(const std::string& primary,
                              const proto::PullReply& reply,
                              absl::Time started,
                              absl::Time now) {
  if (!reply.primary() || reply.term() < m_term ||
      (reply.term() == m_term && m_primary)) {
    if (primary == m_followed_primary) {
      m_followed_primary.clear();
    }
    return;
  }
  if (reply.term() > m_term) {
    EnterTerm(reply.term(), "");
  }
  m_followed_primary = primary;
  m_last_primary_contact = now;
  if (reply.truncate_to() < m_log.End().lsn()) {
    ApplyDueEntries(now);
    m_log.TruncateTo(reply.truncate_to());
    m_complete_pulls.clear();
  }
  for (const proto::LogEntry& entry : reply.entries()) {
    m_log.Append(entry, now);
  }
  if (reply.complete()) {
    m_complete_pulls.push_back({started, m_log.End().lsn()});
    UpdateDataAge(now);
  }
}

void TargetState::OnPeerStatus(const proto::StatusReply& status) {
  if (m_primary && status.primary() && status.term() > m_term) {
    EnterTerm(status.term(), "");
  }
}

}  // namespace heatherwick
