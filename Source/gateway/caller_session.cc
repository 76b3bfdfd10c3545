// The course of one statement: answered by the session itself, or waiting for
// a target, set up there, sent, answered, repeated or given up.

#include "Source/gateway/caller_session.h"

#include <algorithm>
#include <utility>

#include "Source/gateway/gateway.h"
#include "absl/strings/str_cat.h"
#include "glog/logging.h"

namespace heatherwick {
namespace {

// Attempts of a statement that targets refuse or lose; more only add load.
constexpr int kMaxAttempts = 12;
// Pause before a statement that a busy target refused is sent again.
constexpr absl::Duration kBusyPause = absl::Milliseconds(15);
// A replica that lacks a position gets it within its usual lag.
constexpr absl::Duration kLaggingPause = absl::Milliseconds(30);
// A read without an answer is sent to another target after this or after
// kSlowFactor times the target's usual latency, whichever is longer.
constexpr absl::Duration kSlowReadFloor = absl::Milliseconds(200);
constexpr double kSlowFactor = 8;
// Share of a statement's timeout after which a waiting one is refused: the
// rest lets the caller try another instance.
constexpr double kGiveUpShare = 0.7;

// Told to callers whose statement did not run.
constexpr char kRetryHint[] = "retry after 100 ms";

}  // namespace

CallerSession::CallerSession(Gateway* gateway,
                             std::string database,
                             CallerLink* link)
    : m_gateway(gateway),
      m_database(std::move(database)),
      m_link(link),
      m_last_activity(gateway->Loop()->Now()) {
  m_gateway->AddSession(this);
}

CallerSession::~CallerSession() {
  *m_alive = false;
  m_gateway->RemoveSession(this);
  if (m_connection == nullptr) {
    return;
  }
  if (m_request || !m_begun) {
    // A statement may be running; its answer has no reader any more.
    DropConnection();
  } else {
    Rollback();
  }
}

const TargetRequest* CallerSession::Waiting() const {
  return m_request && m_connection == nullptr ? &*m_request : nullptr;
}

void CallerSession::Log(const char* outcome, const std::string& cause) const {
  if (!m_request) {
    return;
  }
  const absl::Time now = m_gateway->Loop()->Now();
  const TargetRequest& request = *m_request;
  DecisionRecord record{"statement", outcome, {}};
  record.fields = {
      {"request", request.statement.id},
      {"kind", std::string(StatementKindName(request.statement.kind))},
      {"database", m_database},
      {"group", request.route.group},
      {"target", m_connection ? m_connection->pool->Target().id : "-"},
      {"primary", m_at_primary ? "yes" : "no"},
      {"attempts", absl::StrCat(request.attempts)},
      {"config", absl::StrCat(m_gateway->ConfigurationVersion())},
      {"ms", absl::StrCat(absl::ToInt64Milliseconds(now - request.arrived))},
  };
  if (!cause.empty()) {
    record.fields.emplace_back("cause", cause);
  }
  m_gateway->Decisions()->Write(record, now);
}

void CallerSession::Answer(const Reply& reply) {
  m_timeout_timer.reset();
  m_slow_timer.reset();
  m_retry_timer.reset();
  m_request.reset();
  m_sent = false;
  m_last_activity = m_gateway->Loop()->Now();
  m_link->SendReply(reply);
}

void CallerSession::AnswerLocally(ReplyCode code, const std::string& text) {
  Reply reply;
  reply.code = code;
  reply.error_text = text;
  reply.state = !m_in_transaction ? TransactionState::kIdle
                : m_failed        ? TransactionState::kFailed
                                  : TransactionState::kOpen;
  if (m_own_position.term > 0) {
    reply.position = m_own_position;
  }
  Answer(reply);
}

void CallerSession::OnStatement(Statement statement) {
  if (m_request) {
    AnswerLocally(ReplyCode::kMalformed,
                  "a statement is already in progress; wait for its reply");
    return;
  }
  if (!m_lost_cause.empty() && statement.kind != StatementKind::kRollback) {
    m_in_transaction = false;
    AnswerLocally(
        ReplyCode::kAborted,
        absl::StrCat(kRetryHint, "; ", std::exchange(m_lost_cause, "")));
    return;
  }
  if (m_failed && statement.kind != StatementKind::kRollback &&
      statement.kind != StatementKind::kCommit) {
    AnswerLocally(ReplyCode::kMalformed,
                  "the transaction failed; end it with a rollback");
    return;
  }
  switch (statement.kind) {
    case StatementKind::kSet:
      m_values[statement.name] = statement.argument;
      AnswerLocally(ReplyCode::kComplete, "");
      return;
    case StatementKind::kPrepareRead:
    case StatementKind::kPrepareWrite:
      m_prepared[statement.name] = {
          statement.kind, statement.argument,
          m_gateway->TargetPreparedName(statement.kind, statement.argument)};
      AnswerLocally(ReplyCode::kComplete, "");
      return;
    case StatementKind::kDeallocate:
      m_prepared.erase(statement.name);
      AnswerLocally(ReplyCode::kComplete, "");
      return;
    case StatementKind::kBegin:
    case StatementKind::kBeginReadOnly:
      Begin(statement);
      return;
    case StatementKind::kRollback:
      Rollback();
      AnswerLocally(ReplyCode::kComplete, "");
      return;
    case StatementKind::kExecute:
      if (!m_prepared.contains(statement.name)) {
        AnswerLocally(ReplyCode::kNoStatement,
                      absl::StrCat("no statement \"", statement.name,
                                   "\" is prepared; prepare it first"));
        return;
      }
      break;
    case StatementKind::kCommit:
      if (!m_in_transaction) {
        AnswerLocally(ReplyCode::kMalformed,
                      "no transaction is open; begin one first");
        return;
      }
      if (m_failed) {
        Rollback();
        AnswerLocally(ReplyCode::kAborted, "the transaction had failed");
        return;
      }
      break;
    default:
      break;
  }
  Submit(std::move(statement));
}

void CallerSession::Begin(const Statement& statement) {
  const Route* const route = m_gateway->FindRoute(m_database);
  if (m_in_transaction) {
    AnswerLocally(ReplyCode::kMalformed, "a transaction is already open");
    return;
  }
  if (route == nullptr) {
    AnswerLocally(
        ReplyCode::kNoDatabase,
        absl::StrCat("database \"", m_database, "\" is not configured"));
    m_link->Close();
    return;
  }
  m_in_transaction = true;
  m_read_only = statement.kind == StatementKind::kBeginReadOnly;
  m_failed = false;
  m_begun = false;
  m_wrote = false;
  m_answered_any = false;
  m_transaction_route = *route;
  AnswerLocally(ReplyCode::kComplete, "");
}

void CallerSession::Rollback() {
  if (m_connection != nullptr) {
    if (m_begun) {
      TargetCommand command;
      command.kind = StatementKind::kRollback;
      TargetConnection* const connection = m_connection;
      TargetPool* const pool = connection->pool;
      m_connection = nullptr;
      connection->on_lost = nullptr;
      // Busy until the reply, so that nothing runs inside the transaction.
      pool->Send(connection, command, [pool, connection](const Reply& reply) {
        if (reply.code == ReplyCode::kComplete &&
            reply.state == TransactionState::kIdle) {
          pool->Release(connection);
        } else {
          pool->Drop(connection);
        }
      });
    } else {
      DropConnection();
    }
  }
  m_in_transaction = false;
  m_failed = false;
  m_begun = false;
  m_wrote = false;
  m_lost_cause.clear();
}

void CallerSession::Submit(Statement statement) {
  const absl::Time now = m_gateway->Loop()->Now();
  TargetRequest request;
  request.in_transaction = m_in_transaction;
  if (m_in_transaction) {
    request.route = m_transaction_route;
  } else {
    const Route* const route = m_gateway->FindRoute(m_database);
    if (route == nullptr) {
      AnswerLocally(
          ReplyCode::kNoDatabase,
          absl::StrCat("database \"", m_database, "\" is not configured"));
      m_link->Close();
      return;
    }
    request.route = *route;
  }
  const auto prepared = m_prepared.find(statement.name);
  request.writes = statement.kind == StatementKind::kWrite ||
                   (statement.kind == StatementKind::kExecute &&
                    prepared->second.kind == StatementKind::kPrepareWrite);
  request.plain_transaction = m_in_transaction && !m_read_only;
  request.arrived = now;
  request.timeout = now + request.route.statement_timeout;
  request.give_up = now + kGiveUpShare * request.route.statement_timeout;
  request.statement = std::move(statement);
  m_request = std::move(request);
  m_timeout_timer = m_gateway->Loop()->RunAfter(
      m_request->route.statement_timeout, [this]() { OnTimeout(); });
  m_gateway->GetMetrics()->Count("statements/received");
  if (m_connection != nullptr) {
    SetUpSession();
    return;
  }
  m_gateway->Enqueue(this);
}

void CallerSession::Run(TargetConnection* connection,
                        std::optional<Position> required,
                        bool at_primary) {
  m_connection = connection;
  m_at_primary = at_primary;
  // The primary under a valid lease has every acknowledged commit.
  m_required = at_primary ? std::nullopt : required;
  ++m_request->attempts;
  connection->on_lost = [this](const Error& error) { OnLost(error); };
  SetUpSession();
}

void CallerSession::SetUpSession() {
  TargetPool* const pool = m_connection->pool;
  std::vector<TargetCommand> setup;
  const bool surplus = std::any_of(
      m_connection->values.begin(), m_connection->values.end(),
      [this](const auto& held) { return !m_values.contains(held.first); });
  if (surplus && !m_begun) {
    TargetCommand reset;
    reset.kind = StatementKind::kReset;
    setup.push_back(reset);
    m_connection->values.clear();
    m_connection->prepared.clear();
  }
  for (const auto& [name, value] : m_values) {
    std::string& held = m_connection->values[name];
    if (held != value) {
      TargetCommand set;
      set.kind = StatementKind::kSet;
      set.name = name;
      set.argument = value;
      setup.push_back(set);
      held = value;
    }
  }
  if (m_request->statement.kind == StatementKind::kExecute) {
    const Prepared& prepared = m_prepared.at(m_request->statement.name);
    if (m_connection->prepared.insert(prepared.target_name).second) {
      TargetCommand prepare;
      prepare.kind = prepared.kind;
      prepare.name = prepared.target_name;
      prepare.argument = prepared.shape;
      setup.push_back(prepare);
    }
  }
  if (setup.empty()) {
    OnSetUp(0);
    return;
  }
  // The statement is sent once all of the setup has succeeded.
  auto pending = std::make_shared<size_t>(setup.size());
  for (TargetCommand& command : setup) {
    pool->Send(m_connection, std::move(command),
               [this, pending, alive = m_alive](const Reply& reply) {
                 if (!*alive || !m_request || m_connection == nullptr) {
                   return;
                 }
                 if (reply.code != ReplyCode::kComplete) {
                   OnLost(Error{ErrorKind::kUnavailable,
                                absl::StrCat("the target refused to set up "
                                             "the session: ",
                                             reply.error_code),
                                ""});
                   return;
                 }
                 OnSetUp(--*pending);
               });
  }
}

void CallerSession::OnSetUp(size_t pending) {
  if (pending > 0) {
    return;
  }
  if (m_in_transaction && !m_begun) {
    SendBegin();
  } else {
    SendStatement();
  }
}

void CallerSession::SendBegin() {
  TargetCommand command;
  command.kind =
      m_read_only ? StatementKind::kBeginReadOnly : StatementKind::kBegin;
  command.required_position = m_required;
  m_connection->pool->Send(
      m_connection, command, [this, alive = m_alive](const Reply& reply) {
        if (!*alive || !m_request || m_connection == nullptr) {
          return;
        }
        if (reply.code == ReplyCode::kComplete) {
          m_begun = true;
          SendStatement();
        } else {
          OnNotRun(reply);
        }
      });
}

void CallerSession::SendStatement() {
  const Statement& statement = m_request->statement;
  TargetCommand command;
  command.id = statement.id;
  command.kind = statement.kind;
  command.text = statement.text;
  command.argument = statement.argument;
  if (statement.kind == StatementKind::kExecute) {
    command.name = m_prepared.at(statement.name).target_name;
  }
  if (!m_in_transaction && !m_request->writes) {
    command.required_position = m_required;
    m_slow_timer = m_gateway->Loop()->RunAfter(
        std::max(kSlowReadFloor, kSlowFactor * m_connection->pool->Latency()),
        [this]() { OnSlowRead(); });
  }
  if (m_request->writes) {
    m_wrote = true;
  }
  m_sent = true;
  m_sent_at = m_gateway->Loop()->Now();
  m_connection->pool->Send(
      m_connection, std::move(command), [this, alive = m_alive](Reply reply) {
        if (*alive && m_request && m_connection != nullptr) {
          OnReply(std::move(reply));
        }
      });
}

bool CallerSession::CommitInFlight() const {
  return m_sent && m_request &&
         (m_request->statement.kind == StatementKind::kCommit ||
          (m_request->writes && !m_in_transaction));
}

void CallerSession::OnReply(Reply reply) {
  TargetPool* const pool = m_connection->pool;
  const bool commits = CommitInFlight();
  m_slow_timer.reset();
  if (m_at_primary && reply.position && reply.position->term > 0) {
    m_gateway->NotePrimaryAnswer(pool, m_sent_at, *reply.position);
  }
  if (reply.code == ReplyCode::kReadOnly && m_at_primary) {
    m_gateway->NoteNotPrimary(pool);
  }
  if (StatesNotRun(reply.code)) {
    OnNotRun(reply);
    return;
  }
  if (reply.code == ReplyCode::kFailed && !m_in_transaction &&
      !m_request->writes && m_request->attempts < 3) {
    Log("repeated", "the target failed the read");
    ReleaseConnection();
    Requeue("the target failed the read");
    return;
  }
  // A commit that an outdated primary made must not be confirmed.
  if (commits && reply.code == ReplyCode::kComplete && m_at_primary &&
      m_wrote && !m_gateway->MayAcknowledge(pool)) {
    reply.code = ReplyCode::kInDoubt;
    reply.rows.clear();
    reply.error_code.clear();
    reply.error_text = "the primary may have been replaced meanwhile";
  }
  if (commits && m_wrote && reply.code == ReplyCode::kComplete &&
      reply.position) {
    m_own_position = std::max(m_own_position, *reply.position);
  }
  Log(reply.code == ReplyCode::kComplete ? "complete"
                                         : ReplyCodeName(reply.code).data(),
      reply.error_text);
  m_gateway->GetMetrics()->Count(
      absl::StrCat("statements/", ReplyCodeName(reply.code)));
  m_gateway->GetMetrics()->Observe(
      "statement", m_gateway->Loop()->Now() - m_request->arrived);
  if (m_in_transaction) {
    m_answered_any = true;
    if (reply.state == TransactionState::kIdle) {
      m_in_transaction = false;
      m_begun = false;
      ReleaseConnection();
    }
    m_failed = reply.state == TransactionState::kFailed;
  } else if (reply.state == TransactionState::kIdle) {
    ReleaseConnection();
  } else {
    DropConnection();
    reply.state = TransactionState::kIdle;
  }
  if (!m_in_transaction) {
    m_wrote = false;
  }
  Answer(reply);
}

void CallerSession::OnNotRun(const Reply& reply) {
  TargetPool* const pool = m_connection->pool;
  const absl::Time now = m_gateway->Loop()->Now();
  const std::string cause =
      absl::StrCat("target ", pool->Target().id, " replied ",
                   ReplyCodeName(reply.code), " ", reply.error_text);
  m_sent = false;
  if (reply.code == ReplyCode::kLagging && m_required) {
    pool->NoteLagging(*m_required, now + kLaggingPause);
  }
  if (reply.code == ReplyCode::kNoStatement) {
    m_connection->prepared.clear();
  }
  if (m_begun) {
    // A busy target keeps the transaction; the statement is sent again.
    if (reply.code == ReplyCode::kBusy &&
        reply.state == TransactionState::kOpen) {
      m_retry_timer = m_gateway->Loop()->RunAfter(kBusyPause, [this]() {
        if (m_request && m_connection != nullptr) {
          SendStatement();
        }
      });
      return;
    }
    if (reply.code == ReplyCode::kNoStatement &&
        reply.state == TransactionState::kOpen) {
      SetUpSession();
      return;
    }
    if (m_answered_any) {
      LoseTransaction(cause);
      return;
    }
    DropConnection();
    m_begun = false;
    m_wrote = false;
  } else {
    ReleaseConnection();
  }
  Requeue(cause);
}

void CallerSession::Requeue(const std::string& cause) {
  TargetRequest& request = *m_request;
  request.last_refusal = cause;
  if (request.attempts >= kMaxAttempts) {
    Refuse(ReplyCode::kBusy, cause);
    return;
  }
  m_retry_timer = m_gateway->Loop()->RunAfter(
      request.attempts <= 1 ? absl::ZeroDuration() : kBusyPause, [this]() {
        if (m_request && m_connection == nullptr) {
          m_gateway->Enqueue(this);
        }
      });
}

void CallerSession::Refuse(ReplyCode code, const std::string& cause) {
  Log("refused", cause);
  m_gateway->GetMetrics()->Count("statements/refused");
  m_gateway->Dequeue(this);
  if (m_in_transaction) {
    LoseTransaction(cause);
    return;
  }
  AnswerLocally(code, absl::StrCat(kRetryHint, "; ", cause));
}

void CallerSession::LoseTransaction(const std::string& cause) {
  Log("transaction_lost", cause);
  m_gateway->GetMetrics()->Count("statements/aborted");
  m_gateway->Dequeue(this);
  DropConnection();
  m_in_transaction = false;
  m_begun = false;
  m_failed = false;
  m_wrote = false;
  AnswerLocally(ReplyCode::kAborted, absl::StrCat(kRetryHint, "; ", cause));
}

void CallerSession::OnLost(const Error& error) {
  if (m_connection == nullptr) {
    return;
  }
  const std::string cause =
      absl::StrCat("connection to target ", m_connection->pool->Target().id,
                   " lost: ", error.message);
  if (!m_request) {
    // Between two statements of a transaction: it is told at the next one.
    DropConnection();
    m_begun = false;
    m_wrote = false;
    m_lost_cause = cause;
    return;
  }
  if (CommitInFlight() && m_wrote) {
    Log("in_doubt", cause);
    m_gateway->GetMetrics()->Count("statements/in_doubt");
    DropConnection();
    m_in_transaction = false;
    m_begun = false;
    m_wrote = false;
    AnswerLocally(ReplyCode::kInDoubt, cause);
    return;
  }
  if (m_in_transaction && m_answered_any) {
    LoseTransaction(cause);
    return;
  }
  m_request->avoided = m_connection->pool->Target().id;
  DropConnection();
  m_sent = false;
  m_begun = false;
  m_wrote = false;
  Requeue(cause);
}

void CallerSession::OnTimeout() {
  if (!m_request) {
    return;
  }
  const std::string cause = "the statement's timeout is over";
  if (m_connection == nullptr) {
    Refuse(ReplyCode::kBusy, cause);
    return;
  }
  if (CommitInFlight() && m_wrote) {
    OnLost(Error{ErrorKind::kDeadlineExceeded, cause, ""});
    return;
  }
  if (m_in_transaction) {
    LoseTransaction(cause);
    return;
  }
  Log("timeout", cause);
  m_gateway->GetMetrics()->Count("statements/timeout");
  DropConnection();
  AnswerLocally(m_sent ? ReplyCode::kTimeout : ReplyCode::kBusy, cause);
}

void CallerSession::OnSlowRead() {
  if (!m_request || m_connection == nullptr || m_request->attempts >= 3) {
    return;
  }
  Log("repeated", "the read is slow");
  m_request->avoided = m_connection->pool->Target().id;
  DropConnection();
  m_sent = false;
  Requeue("the read is slow");
}

void CallerSession::AbandonTarget(const std::string& cause) {
  if (m_connection == nullptr) {
    if (m_in_transaction && m_request) {
      LoseTransaction(cause);
    }
    return;
  }
  OnLost(Error{ErrorKind::kUnavailable, cause, ""});
}

bool CallerSession::Uses(const TargetPool* pool) const {
  return m_connection != nullptr && m_connection->pool == pool;
}

bool CallerSession::UsesPrimaryOf(const GroupName& group) const {
  return m_connection != nullptr && m_at_primary &&
         m_connection->pool->Target().group == group;
}

void CallerSession::EndIdleTransaction(absl::Time deadline) {
  if (m_request || m_connection == nullptr || m_last_activity > deadline) {
    return;
  }
  DropConnection();
  m_begun = false;
  m_wrote = false;
  m_lost_cause = "the transaction was idle for too long";
}

void CallerSession::CloseIdle() {
  if (Idle()) {
    m_link->Close();
  }
}

void CallerSession::ReleaseConnection() {
  TargetConnection* const connection = std::exchange(m_connection, nullptr);
  if (connection != nullptr) {
    connection->pool->Release(connection);
  }
}

void CallerSession::DropConnection() {
  TargetConnection* const connection = std::exchange(m_connection, nullptr);
  if (connection != nullptr) {
    connection->pool->Drop(connection);
  }
}

}  // namespace heatherwick
