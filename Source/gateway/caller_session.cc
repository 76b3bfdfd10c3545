// Processes one statement at a time. Some statements are answered by the
// session itself. The others wait for a target connection; the session values
// are set on it before the statement is sent. Such a statement is then
// answered, retried or refused.

#include "Source/gateway/caller_session.h"

#include <algorithm>
#include <utility>

#include "Source/base/hash.h"
#include "Source/decision/repeat_budget.h"
#include "Source/gateway/gateway.h"
#include "absl/strings/str_cat.h"
#include "glog/logging.h"

namespace heatherwick {
namespace {

// Attempts for a statement that targets refuse or whose connection is lost;
// more attempts would only add load.
constexpr int kMaxAttempts = 12;
// Delay between the later attempts of a requeued statement.
constexpr absl::Duration kRetryDelay = absl::Milliseconds(15);
// A read without a reply is slow after this delay or after
// kSlowReadLatencyFactor times the target's average latency, whichever is
// longer.
constexpr absl::Duration kMinSlowReadDelay = absl::Milliseconds(200);
constexpr double kSlowReadLatencyFactor = 8;
// A read on a borrowed connection may wait this much longer, for the lender.
constexpr absl::Duration kLenderWait = absl::Milliseconds(150);
// A statement that still waits for a target after this fraction of its timeout
// is refused; the rest of the timeout lets the caller try another instance.
constexpr double kQueueTimeoutFraction = 0.7;
// Session values and prepared statements of one session. A message of the
// largest size, 1 MiB, fits.
constexpr size_t kMaxStateBytes = 2 << 20;
// Of an entry that holds a value or a prepared statement, besides its texts.
constexpr size_t kStateEntryBytes = 160;

// How often a commit is checked that was answered while the instance registers
// in a new era of the store.
constexpr absl::Duration kLeaseRecheckInterval = absl::Milliseconds(20);

// Targets at which a read is tried although lenders expect that they cannot
// serve it in time. A group has three targets.
constexpr int kMaxBackloggedTargets = 3;

// Starts the error text for callers whose statement did not run.
std::string RetryHint(
    absl::Duration retry_after = CallerSession::kDefaultRetryAfter) {
  return absl::StrCat("retry after ", absl::ToInt64Milliseconds(retry_after),
                      " ms");
}

size_t StateBytesOf(const std::string& name, const std::string& text) {
  return name.size() + text.size() + kStateEntryBytes;
}

}  // namespace

CallerSession::CallerSession(Gateway* gateway,
                             std::string database,
                             std::string key,
                             CallerLink* link)
    : m_gateway(gateway),
      m_database(std::move(database)),
      m_key(std::move(key)),
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
  if (m_request || !m_begun_at_target) {
    // A statement may still be running, and nobody is left to read its reply.
    DropConnection();
  } else {
    Rollback();
  }
}

const TargetRequest* CallerSession::WaitingRequest() const {
  return m_request && m_connection == nullptr ? &*m_request : nullptr;
}

void CallerSession::LogDecision(const char* outcome,
                                const std::string& cause,
                                std::optional<Position> position) const {
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
      {"ms",
       absl::StrCat(absl::ToInt64Milliseconds(now - request.arrival_time))},
  };
  if (m_at_primary) {
    const GroupLeader& leader = m_gateway->Leader(request.route.group);
    record.fields.emplace_back("epoch", absl::StrCat(leader.epoch));
    record.fields.emplace_back("term", absl::StrCat(leader.term));
    if (m_statement_sent) {
      record.fields.emplace_back("lease_from",
                                 std::string(LeaseSourceName(m_lease_source)));
      record.fields.emplace_back(
          "lease_age_ms", absl::StrCat(absl::ToInt64Milliseconds(m_lease_age)));
    }
  }
  if (position) {
    record.fields.emplace_back(
        "position", absl::StrCat(position->term, ".", position->lsn));
  }
  if (!cause.empty()) {
    record.fields.emplace_back("cause", cause);
  }
  m_gateway->Decisions()->Write(record, now);
}

void CallerSession::FinishStatement(const Reply& reply) {
  m_timeout_timer.reset();
  m_slow_read_timer.reset();
  m_retry_timer.reset();
  m_quota_ticket.reset();
  m_request.reset();
  m_statement_sent = false;
  m_last_activity = m_gateway->Loop()->Now();
  m_link->SendReply(reply);
  // A caller that sends its next statement at once is idle only here.
  if (m_gateway->Draining()) {
    CloseIdle();
  }
}

void CallerSession::ReplyLocally(ReplyCode code, const std::string& text) {
  Reply reply;
  reply.code = code;
  reply.error_text = text;
  reply.state = !m_in_transaction      ? TransactionState::kIdle
                : m_transaction_failed ? TransactionState::kFailed
                                       : TransactionState::kOpen;
  if (m_last_write_position.term > 0) {
    reply.position = m_last_write_position;
  }
  FinishStatement(reply);
}

bool CallerSession::Authorize() {
  const Route* const route = m_in_transaction
                                 ? &m_transaction_route
                                 : m_gateway->FindRoute(m_database);
  if (route == nullptr) {
    return true;  // The statement is refused for this reason.
  }
  const Access access = m_gateway->CheckAccess(m_key, *route);
  if (access.outcome == AccessOutcome::kGranted) {
    if (!m_in_transaction) {
      m_workspace = access.workspace;
    }
    if (access.workspace == m_workspace) {
      return true;
    }
  }
  const bool in_transaction = m_in_transaction;
  Rollback();
  m_gateway->GetMetrics()->Count("statements/unauthorized");
  switch (access.outcome) {
    case AccessOutcome::kUnknownKey:
      ReplyLocally(ReplyCode::kUnauthorized, "no workspace has the key");
      break;
    case AccessOutcome::kConfigurationStale:
      ReplyLocally(in_transaction ? ReplyCode::kAborted : ReplyCode::kBusy,
                   absl::StrCat(RetryHint(),
                                "; the instance cannot read which keys are in "
                                "force"));
      break;
    case AccessOutcome::kGranted:
      ReplyLocally(ReplyCode::kAborted,
                   absl::StrCat(RetryHint(),
                                "; the key was moved to another workspace"));
      return false;
  }
  m_link->Close();
  return false;
}

void CallerSession::OnKeysChanged() {
  const Route* const route = m_in_transaction
                                 ? &m_transaction_route
                                 : m_gateway->FindRoute(m_database);
  if (m_request || route == nullptr) {
    return;  // The next statement is checked.
  }
  const Access access = m_gateway->CheckAccess(m_key, *route);
  if (access.outcome == AccessOutcome::kUnknownKey) {
    EndTransaction("the key was withdrawn");
    CloseIdle();
  } else if (m_in_transaction && access.outcome == AccessOutcome::kGranted &&
             access.workspace != m_workspace) {
    EndTransaction("the key was moved to another workspace");
  }
}

void CallerSession::OnStatement(Statement statement) {
  if (m_request) {
    // The network layer hands over one statement at a time. A reply here would
    // be taken for that of the statement in progress.
    LOG(ERROR) << "event=statement_in_progress outcome=session_closed";
    m_link->Close();
    return;
  }
  if (!Authorize()) {
    return;
  }
  if (!m_transaction_loss_cause.empty() &&
      statement.kind != StatementKind::kRollback) {
    m_in_transaction = false;
    ReplyLocally(ReplyCode::kAborted,
                 absl::StrCat(RetryHint(), "; ",
                              std::exchange(m_transaction_loss_cause, "")));
    return;
  }
  if (m_transaction_failed && statement.kind != StatementKind::kRollback &&
      statement.kind != StatementKind::kCommit) {
    ReplyLocally(ReplyCode::kMalformed,
                 "the transaction failed; end it with a rollback");
    return;
  }
  switch (statement.kind) {
    case StatementKind::kSet:
      if (!KeepState(statement)) {
        return;
      }
      m_values[statement.name] = statement.argument;
      ReplyLocally(ReplyCode::kComplete, "");
      return;
    case StatementKind::kPrepareRead:
    case StatementKind::kPrepareWrite:
      if (!KeepState(statement)) {
        return;
      }
      m_prepared[statement.name] = {
          statement.kind, statement.argument,
          m_gateway->PreparedNameAtTarget(statement.kind, statement.argument)};
      ReplyLocally(ReplyCode::kComplete, "");
      return;
    case StatementKind::kDeallocate:
      if (const auto found = m_prepared.find(statement.name);
          found != m_prepared.end()) {
        m_state_bytes -= StateBytesOf(found->first, found->second.shape);
        m_prepared.erase(found);
      }
      ReplyLocally(ReplyCode::kComplete, "");
      return;
    case StatementKind::kBegin:
    case StatementKind::kBeginReadOnly:
      Begin(statement);
      return;
    case StatementKind::kRollback:
      Rollback();
      ReplyLocally(ReplyCode::kComplete, "");
      return;
    case StatementKind::kExecute:
      if (!m_prepared.contains(statement.name)) {
        ReplyLocally(ReplyCode::kNoStatement,
                     absl::StrCat("no statement \"", statement.name,
                                  "\" is prepared; prepare it first"));
        return;
      }
      break;
    case StatementKind::kCommit:
      if (!m_in_transaction) {
        ReplyLocally(ReplyCode::kMalformed,
                     "no transaction is open; begin one first");
        return;
      }
      if (m_transaction_failed) {
        Rollback();
        ReplyLocally(ReplyCode::kAborted, "the transaction had failed");
        return;
      }
      break;
    default:
      break;
  }
  Submit(std::move(statement));
}

bool CallerSession::KeepState(const Statement& statement) {
  size_t replaced = 0;
  if (statement.kind == StatementKind::kSet) {
    const auto found = m_values.find(statement.name);
    if (found != m_values.end()) {
      replaced = StateBytesOf(found->first, found->second);
    }
  } else {
    const auto found = m_prepared.find(statement.name);
    if (found != m_prepared.end()) {
      replaced = StateBytesOf(found->first, found->second.shape);
    }
  }
  const size_t kept = m_state_bytes - replaced +
                      StateBytesOf(statement.name, statement.argument);
  if (kept > kMaxStateBytes) {
    m_gateway->GetMetrics()->Count("statements/session_state_too_large");
    ReplyLocally(ReplyCode::kTooLarge,
                 absl::StrCat("the session's values and prepared statements "
                              "would exceed ",
                              kMaxStateBytes, " bytes"));
    return false;
  }
  m_state_bytes = kept;
  return true;
}

void CallerSession::Begin(const Statement& statement) {
  const Route* const route = m_gateway->FindRoute(m_database);
  if (m_in_transaction) {
    ReplyLocally(ReplyCode::kMalformed, "a transaction is already open");
    return;
  }
  if (route == nullptr) {
    ReplyLocally(ReplyCode::kNoDatabase, absl::StrCat("database \"", m_database,
                                                      "\" is not configured"));
    m_link->Close();
    return;
  }
  m_in_transaction = true;
  m_read_only = statement.kind == StatementKind::kBeginReadOnly;
  m_transaction_failed = false;
  m_begun_at_target = false;
  m_wrote = false;
  m_transaction_answered = false;
  m_transaction_admitted = false;
  m_transaction_route = *route;
  ReplyLocally(ReplyCode::kComplete, "");
}

void CallerSession::Rollback() {
  if (m_connection != nullptr) {
    if (m_begun_at_target) {
      TargetCommand command;
      command.kind = StatementKind::kRollback;
      TargetConnection* const connection = m_connection;
      TargetPool* const pool = connection->pool;
      m_connection = nullptr;
      connection->on_lost = nullptr;
      // The connection stays busy until the reply arrives, so that no other
      // statement runs inside the transaction.
      pool->Send(connection, command, [pool, connection](const Reply& reply) {
        if (reply.code == ReplyCode::kComplete &&
            reply.state == TransactionState::kIdle) {
          pool->Release(connection);
        } else {
          pool->CloseAndNotify(connection);
        }
      });
    } else {
      DropConnection();
    }
  }
  m_in_transaction = false;
  m_transaction_failed = false;
  m_begun_at_target = false;
  m_wrote = false;
  m_transaction_loss_cause.clear();
}

void CallerSession::Submit(Statement statement) {
  const absl::Time now = m_gateway->Loop()->Now();
  TargetRequest request;
  request.in_transaction = m_in_transaction;
  request.workspace = m_workspace;
  if (m_in_transaction) {
    request.route = m_transaction_route;
  } else {
    const Route* const route = m_gateway->FindRoute(m_database);
    if (route == nullptr) {
      ReplyLocally(
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
  request.read_write_transaction = m_in_transaction && !m_read_only;
  request.arrival_time = now;
  request.statement_deadline = now + request.route.statement_timeout;
  request.queue_deadline =
      now + kQueueTimeoutFraction * request.route.statement_timeout;
  request.statement = std::move(statement);
  m_request = std::move(request);
  m_timeout_timer = m_gateway->Loop()->RunAfter(
      m_request->route.statement_timeout, [this]() { OnTimeout(); });
  m_gateway->GetMetrics()->Count("statements/received");
  if (m_connection != nullptr) {
    SetUpConnection();
    return;
  }
  if (!m_gateway->HasQuota(m_workspace) ||
      (m_in_transaction && m_transaction_admitted)) {
    m_gateway->Enqueue(this);
    return;
  }
  AdmitOperation();
}

void CallerSession::AdmitOperation() {
  m_quota_ticket = m_gateway->Admit(
      m_workspace, m_request->route.priority,
      [this](const QuotaGate::Decision& decision) {
        m_quota_ticket.reset();
        if (!decision.admitted) {
          m_gateway->GetMetrics()->Count("refusals/quota");
          Refuse(ReplyCode::kBusy,
                 decision.used_up ? "the workspace's quota is used up"
                                  : "the workspace's quota is not known now",
                 decision.retry_after);
          return;
        }
        const Access access = m_gateway->CheckAccess(m_key, m_request->route);
        if (access.outcome != AccessOutcome::kGranted ||
            access.workspace != m_request->workspace) {
          // The caller's next statement is told more.
          Refuse(ReplyCode::kBusy,
                 "the key changed while the statement waited");
          return;
        }
        m_transaction_admitted = m_in_transaction;
        m_gateway->Enqueue(this);
      });
}

void CallerSession::RunStatement(TargetConnection* connection,
                                 std::optional<Position> required,
                                 bool at_primary) {
  m_connection = connection;
  m_at_primary = at_primary;
  // The primary under a valid lease has every acknowledged commit, so that no
  // position needs to be required there.
  m_required_position = at_primary ? std::nullopt : required;
  ++m_request->attempts;
  connection->on_lost = [this](const Error& error) { OnConnectionLost(error); };
  SetUpConnection();
}

void CallerSession::SetUpConnection() {
  TargetPool* const pool = m_connection->pool;
  std::vector<TargetCommand> setup;
  const bool has_extra_values =
      std::any_of(m_connection->values.begin(), m_connection->values.end(),
                  [this](const auto& existing) {
                    return !m_values.contains(existing.first);
                  });
  if ((has_extra_values || m_connection->needs_reset) && !m_begun_at_target) {
    TargetCommand reset;
    reset.kind = StatementKind::kReset;
    setup.push_back(reset);
    m_connection->values.clear();
    m_connection->prepared.clear();
    m_connection->needs_reset = false;
  }
  for (const auto& [name, value] : m_values) {
    std::string& existing = m_connection->values[name];
    if (existing != value) {
      TargetCommand set;
      set.kind = StatementKind::kSet;
      set.name = name;
      set.argument = value;
      setup.push_back(set);
      existing = value;
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
    ContinueAfterSetup(0);
    return;
  }
  // The statement is sent after every setup command has succeeded. On a
  // borrowed connection it is sent at once, as it runs only then.
  const bool chained = m_connection->link->Borrowed();
  auto pending = std::make_shared<size_t>(setup.size());
  for (TargetCommand& command : setup) {
    command.terms = Terms();
    pool->Send(
        m_connection, std::move(command),
        [this, pending, chained, alive = m_alive](const Reply& reply) {
          if (!*alive || !m_request || m_connection == nullptr) {
            return;
          }
          if (reply.code != ReplyCode::kComplete) {
            m_statement_sent = false;
            OnConnectionLost(Error{ErrorKind::kUnavailable,
                                   absl::StrCat("the target refused to set up "
                                                "the session: ",
                                                reply.error_code),
                                   ""});
            return;
          }
          if (!chained) {
            ContinueAfterSetup(--*pending);
          }
        });
  }
  if (chained) {
    ContinueAfterSetup(0);
  }
}

void CallerSession::ContinueAfterSetup(size_t pending) {
  if (pending > 0) {
    return;
  }
  if (m_in_transaction && !m_begun_at_target) {
    SendBegin();
  } else {
    SendStatement();
  }
}

WaitTerms CallerSession::Terms() const {
  return {m_request->route.priority,
          m_request->arrival_time + m_request->route.latency_objective,
          m_request->queue_deadline, m_request->statement_deadline};
}

void CallerSession::SendBegin() {
  TargetCommand command;
  command.kind =
      m_read_only ? StatementKind::kBeginReadOnly : StatementKind::kBegin;
  command.required_position = m_required_position;
  command.terms = Terms();
  const bool chained = m_connection->link->Borrowed();
  m_connection->pool->Send(
      m_connection, command,
      [this, chained, alive = m_alive](const Reply& reply) {
        if (!*alive || !m_request || m_connection == nullptr) {
          return;
        }
        if (reply.code != ReplyCode::kComplete) {
          OnNotRun(reply);
          return;
        }
        m_begun_at_target = true;
        if (!chained) {
          SendStatement();
        }
      });
  if (chained) {
    SendStatement();
  }
}

void CallerSession::SendStatement() {
  const Statement& statement = m_request->statement;
  TargetCommand command;
  command.id = statement.id;
  command.kind = statement.kind;
  command.text = statement.text;
  command.argument = statement.argument;
  command.terms = Terms();
  if (statement.kind == StatementKind::kExecute) {
    command.name = m_prepared.at(statement.name).target_name;
  }
  if (!m_in_transaction && !m_request->writes) {
    command.required_position = m_required_position;
    m_slow_read_timer = m_gateway->Loop()->RunAfter(
        std::max(kMinSlowReadDelay,
                 kSlowReadLatencyFactor * m_connection->pool->Latency()) +
            (m_connection->link->Borrowed() ? kLenderWait
                                            : absl::ZeroDuration()),
        [this]() { OnSlowRead(); });
  }
  if (m_request->writes) {
    m_wrote = true;
  }
  m_statement_sent = true;
  m_statement_sent_at = m_gateway->Loop()->Now();
  if (m_at_primary) {
    const LeadershipView& view = m_gateway->Leadership();
    m_lease_source = view.Source();
    m_lease_age = m_statement_sent_at - view.AsOf();
    if (m_lease_source != LeaseSource::kNone) {
      m_gateway->GetMetrics()->Observe("lease_age_at_primary", m_lease_age);
    }
  }
  m_connection->pool->Send(
      m_connection, std::move(command), [this, alive = m_alive](Reply reply) {
        if (*alive && m_request && m_connection != nullptr) {
          OnReply(std::move(reply));
        }
      });
}

bool CallerSession::CommitInFlight() const {
  return m_statement_sent && m_request &&
         (m_request->statement.kind == StatementKind::kCommit ||
          (m_request->writes && !m_in_transaction));
}

void CallerSession::OnReply(Reply reply) {
  TargetPool* const pool = m_connection->pool;
  const bool commits = CommitInFlight();
  m_slow_read_timer.reset();
  if (m_at_primary && reply.position && reply.position->term > 0) {
    m_gateway->RecordPrimaryReply(pool, m_statement_sent_at, *reply.position);
  }
  if (reply.code == ReplyCode::kReadOnly && m_at_primary) {
    m_gateway->OnNotPrimaryReply(pool);
  }
  if (MeansNotRun(reply.code)) {
    OnNotRun(reply);
    return;
  }
  if (reply.code == ReplyCode::kFailed && !m_in_transaction &&
      !m_request->writes && m_request->attempts < 3) {
    LogDecision("repeated", "the target failed the read");
    ReleaseConnection();
    Requeue("the target failed the read");
    return;
  }
  // A commit must not be confirmed if the primary that made it may have been
  // replaced.
  if (commits && reply.code == ReplyCode::kComplete && m_at_primary &&
      m_wrote && !m_gateway->MayAcknowledgeCommit(pool, reply.position)) {
    if (m_gateway->LeaseReturnsSoon()) {
      m_retry_timer = m_gateway->Loop()->RunAfter(
          kLeaseRecheckInterval, [this, reply = std::move(reply)]() {
            if (m_request && m_connection != nullptr) {
              OnReply(reply);
            }
          });
      return;
    }
    reply.code = ReplyCode::kInDoubt;
    reply.rows.clear();
    reply.error_code.clear();
    reply.error_text = "the primary may have been replaced before it replied";
  }
  if (commits && m_wrote && reply.code == ReplyCode::kComplete &&
      reply.position) {
    m_last_write_position = std::max(m_last_write_position, *reply.position);
  }
  if (reply.code == ReplyCode::kComplete && !m_in_transaction &&
      !m_request->writes) {
    m_gateway->OnReadCompleted();
  }
  LogDecision(reply.code == ReplyCode::kComplete
                  ? "complete"
                  : ReplyCodeName(reply.code).data(),
              reply.error_text, m_at_primary ? reply.position : std::nullopt);
  m_gateway->GetMetrics()->Count(
      absl::StrCat("statements/", ReplyCodeName(reply.code)));
  m_gateway->GetMetrics()->Observe(
      "statement", m_gateway->Loop()->Now() - m_request->arrival_time);
  if (m_in_transaction) {
    m_transaction_answered = true;
    if (reply.state == TransactionState::kIdle) {
      m_in_transaction = false;
      m_begun_at_target = false;
      ReleaseConnection();
    }
    m_transaction_failed = reply.state == TransactionState::kFailed;
  } else if (reply.state == TransactionState::kIdle) {
    ReleaseConnection();
  } else {
    DropConnection();
    reply.state = TransactionState::kIdle;
  }
  if (!m_in_transaction) {
    m_wrote = false;
  }
  FinishStatement(reply);
}

void CallerSession::OnNotRun(const Reply& reply) {
  TargetPool* const pool = m_connection->pool;
  const std::string cause =
      absl::StrCat("target ", pool->Target().id, " replied ",
                   ReplyCodeName(reply.code), " ", reply.error_text);
  m_statement_sent = false;
  if (!m_begun_at_target) {
    m_wrote = false;
  }
  if (reply.code == ReplyCode::kLagging && m_required_position) {
    pool->MarkLagging(*m_required_position);
  }
  if (reply.code == ReplyCode::kNoStatement) {
    m_connection->prepared.clear();
  }
  if (m_begun_at_target) {
    // A busy target keeps the transaction open, so only the statement is sent
    // again.
    if (reply.code == ReplyCode::kBusy &&
        reply.state == TransactionState::kOpen) {
      m_retry_timer = m_gateway->Loop()->RunAfter(NextBusyPause(), [this]() {
        if (m_request && m_connection != nullptr) {
          SendStatement();
        }
      });
      return;
    }
    if (reply.code == ReplyCode::kNoStatement &&
        reply.state == TransactionState::kOpen) {
      SetUpConnection();
      return;
    }
    if (m_transaction_answered) {
      AbortTransaction(cause);
      return;
    }
    DropConnection();
    m_begun_at_target = false;
    m_wrote = false;
  } else {
    if (reply.retry_after) {
      m_request->avoided_target = pool->Target().id;
    }
    ReleaseConnection();
  }
  // Other targets may serve a read.
  if (reply.retry_after && (Gateway::NeedsPrimary(*m_request) ||
                            m_request->attempts >= kMaxBackloggedTargets)) {
    m_gateway->GetMetrics()->Count("refusals/lender_backlog");
    Refuse(ReplyCode::kBusy, cause, *reply.retry_after);
    return;
  }
  Requeue(cause, reply.code == ReplyCode::kBusy ? NextBusyPause()
                                                : absl::ZeroDuration());
}

absl::Duration CallerSession::NextBusyPause() {
  return BusyRetryPause(++m_request->busy_replies,
                        StableHash(m_request->statement.id));
}

void CallerSession::Requeue(const std::string& cause, absl::Duration pause) {
  TargetRequest& request = *m_request;
  request.last_failure = cause;
  m_slow_read_timer.reset();
  if (request.attempts >= kMaxAttempts) {
    m_gateway->GetMetrics()->Count("refusals/attempts");
    Refuse(ReplyCode::kBusy, cause);
    return;
  }
  m_retry_timer = m_gateway->Loop()->RunAfter(
      request.attempts <= 1 ? absl::ZeroDuration()
                            : std::max(pause, kRetryDelay),
      [this]() {
        if (m_request && m_connection == nullptr) {
          m_gateway->Enqueue(this);
        }
      });
}

void CallerSession::Refuse(ReplyCode code,
                           const std::string& cause,
                           absl::Duration retry_after) {
  LogDecision("refused", cause);
  m_gateway->GetMetrics()->Count("statements/refused");
  m_gateway->Dequeue(this);
  if (m_in_transaction) {
    AbortTransaction(cause, retry_after);
    return;
  }
  ReplyLocally(code, absl::StrCat(RetryHint(retry_after), "; ", cause));
}

void CallerSession::AbortTransaction(const std::string& cause,
                                     absl::Duration retry_after) {
  LogDecision("transaction_lost", cause);
  m_gateway->GetMetrics()->Count("statements/aborted");
  m_gateway->Dequeue(this);
  DropConnection();
  m_in_transaction = false;
  m_begun_at_target = false;
  m_transaction_failed = false;
  m_wrote = false;
  ReplyLocally(ReplyCode::kAborted,
               absl::StrCat(RetryHint(retry_after), "; ", cause));
}

void CallerSession::OnConnectionLost(const Error& error) {
  if (m_connection == nullptr) {
    return;
  }
  const std::string cause =
      absl::StrCat("connection to target ", m_connection->pool->Target().id,
                   " lost: ", error.message);
  if (!m_request) {
    // No statement is in progress; the loss is reported in the reply to the
    // transaction's next statement.
    DropConnection();
    m_begun_at_target = false;
    m_wrote = false;
    m_transaction_loss_cause = cause;
    return;
  }
  if (CommitInFlight() && m_wrote) {
    LogDecision("in_doubt", cause);
    m_gateway->GetMetrics()->Count("statements/in_doubt");
    DropConnection();
    m_in_transaction = false;
    m_begun_at_target = false;
    m_wrote = false;
    ReplyLocally(ReplyCode::kInDoubt, cause);
    return;
  }
  if (m_in_transaction && m_transaction_answered) {
    AbortTransaction(cause);
    return;
  }
  m_request->avoided_target = m_connection->pool->Target().id;
  DropConnection();
  m_statement_sent = false;
  m_begun_at_target = false;
  m_wrote = false;
  Requeue(cause);
}

void CallerSession::OnTimeout() {
  if (!m_request) {
    return;
  }
  const std::string cause = "the statement timed out";
  if (m_connection == nullptr) {
    m_gateway->GetMetrics()->Count("refusals/statement_timeout");
    Refuse(ReplyCode::kBusy, cause);
    return;
  }
  if (CommitInFlight() && m_wrote) {
    OnConnectionLost(Error{ErrorKind::kDeadlineExceeded, cause, ""});
    return;
  }
  if (m_in_transaction) {
    AbortTransaction(cause);
    return;
  }
  LogDecision("timeout", cause);
  m_gateway->GetMetrics()->Count("statements/timeout");
  DropConnection();
  ReplyLocally(m_statement_sent ? ReplyCode::kTimeout : ReplyCode::kBusy,
               cause);
}

void CallerSession::OnSlowRead() {
  if (!m_request || m_connection == nullptr || m_request->attempts >= 3) {
    return;
  }
  // A read that may not be repeated waits for its answer.
  if (!m_gateway->MayRepeatRead(
          m_connection->pool, m_required_position,
          m_gateway->Loop()->Now() - m_statement_sent_at)) {
    return;
  }
  LogDecision("repeated", "the read is slow");
  m_request->avoided_target = m_connection->pool->Target().id;
  DropConnection();
  m_statement_sent = false;
  Requeue("the read is slow");
}

void CallerSession::StopUsingTarget(const std::string& cause) {
  if (m_connection == nullptr) {
    if (m_in_transaction && m_request) {
      AbortTransaction(cause);
    }
    return;
  }
  OnConnectionLost(Error{ErrorKind::kUnavailable, cause, ""});
}

bool CallerSession::UsesPool(const TargetPool* pool) const {
  return m_connection != nullptr && m_connection->pool == pool;
}

bool CallerSession::UsesPrimaryOf(const GroupName& group) const {
  return m_connection != nullptr && m_at_primary &&
         m_connection->pool->Target().group == group;
}

void CallerSession::EndIdleTransaction(absl::Time idle_since) {
  if (m_request || m_connection == nullptr || m_last_activity > idle_since) {
    return;
  }
  DropConnection();
  m_begun_at_target = false;
  m_wrote = false;
  m_transaction_loss_cause = "the transaction was idle for too long";
}

void CallerSession::CloseIdle() {
  if (Idle()) {
    m_link->Close();
  }
}

void CallerSession::CloseIdleSince(absl::Time idle_since) {
  if (m_last_activity <= idle_since) {
    CloseIdle();
  }
}

void CallerSession::EndTransaction(const std::string& cause) {
  if (m_in_transaction && !CommitInFlight()) {
    StopUsingTarget(cause);
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
    connection->pool->CloseAndNotify(connection);
  }
}

}  // namespace heatherwick
