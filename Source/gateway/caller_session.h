// The state of one caller's connection: its session values, its prepared
// statements, its open transaction and the statement in progress. A session
// serves one statement at a time.

#ifndef SOURCE_GATEWAY_CALLER_SESSION_H_
#define SOURCE_GATEWAY_CALLER_SESSION_H_

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "Source/gateway/configuration.h"
#include "Source/gateway/event_loop.h"
#include "Source/gateway/leadership_view.h"
#include "Source/gateway/quota/quota_gate.h"
#include "Source/gateway/statement.h"
#include "Source/gateway/target_pool.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace heatherwick {

class Gateway;

// Sends replies to the caller; implemented by the network layer.
class CallerLink {
 public:
  virtual ~CallerLink() = default;

  virtual void SendReply(const Reply& reply) = 0;
  // Closes the connection after all pending output is written. The session is
  // destroyed later, not during this call.
  virtual void Close() = 0;
};

// The statement in progress, with what it requires of a target.
struct TargetRequest {
  Statement statement;
  Route route;
  // Whose connection the statement needs; empty if it belongs to no workspace.
  WorkspaceName workspace;
  bool writes = false;  // Must run on the primary.
  // Part of a transaction that may write, which runs on the primary.
  bool read_write_transaction = false;
  bool in_transaction = false;
  absl::Time arrival_time;
  // A statement that still waits for a target at this time is refused.
  absl::Time queue_deadline;
  absl::Time statement_deadline;
  int attempts = 0;
  int busy_replies = 0;  // How often a target or lender was busy.
  // The target of an attempt that failed or was too slow; others are preferred.
  TargetId avoided_target;
  // Where the attempt of this number waits for a borrowed connection.
  TargetId chosen_target;
  int chosen_attempt = -1;
  std::string last_failure;  // Why the last attempt was abandoned.
};

class CallerSession {
 public:
  static constexpr absl::Duration kDefaultRetryAfter = absl::Milliseconds(100);

  // `key` identifies the caller's workspace; it may be empty.
  CallerSession(Gateway* gateway,
                std::string database,
                std::string key,
                CallerLink* link);
  ~CallerSession();

  void OnStatement(Statement statement);
  // True when no statement is in progress and no transaction is open, so that
  // the connection can be closed without losing anything.
  bool Idle() const { return !m_request && !m_in_transaction; }
  bool InTransaction() const { return m_in_transaction; }
  const std::string& Database() const { return m_database; }
  // Memory of the session values and prepared statements.
  size_t StateBytes() const { return m_state_bytes; }
  void CloseIdle();
  // Closes the session if it has been idle since `idle_since` or earlier.
  void CloseIdleSince(absl::Time idle_since);

  // Ends the open transaction, or closes the idle session, if its key no longer
  // admits it.
  void OnKeysChanged();

  // The functions below are called by the gateway.

  // The statement that waits for a target; null when there is none.
  const TargetRequest* WaitingRequest() const;
  // Records the target for the present attempt of the waiting statement.
  void SetChosenTarget(const TargetId& target) {
    m_request->chosen_target = target;
    m_request->chosen_attempt = m_request->attempts;
  }
  // Position of the session's own last commit. Under kReadYourWrites the next
  // read must see it, in addition to the position that max staleness requires.
  Position LastWritePosition() const { return m_last_write_position; }
  const SessionValues& Values() const { return m_values; }
  // Runs the waiting statement on `connection`. A target whose log lacks
  // `required` refuses it.
  void RunStatement(TargetConnection* connection,
                    std::optional<Position> required,
                    bool at_primary);
  // `retry_after` tells the caller when to come back.
  void Refuse(ReplyCode code,
              const std::string& cause,
              absl::Duration retry_after = kDefaultRetryAfter);
  // Ends the open transaction and the statement in flight, because their target
  // may no longer be used.
  void StopUsingTarget(const std::string& cause);
  // Ends the open transaction, unless its commit is in flight.
  void EndTransaction(const std::string& cause);
  bool UsesPool(const TargetPool* pool) const;
  bool UsesPrimaryOf(const GroupName& group) const;
  // Ends the transaction if the session has been idle since `idle_since` or
  // earlier.
  void EndIdleTransaction(absl::Time idle_since);

 private:
  struct Prepared {
    StatementKind kind;
    std::string shape;
    std::string target_name;
  };

  // Refuses the statement, which sets a value or prepares a statement, if the
  // session would keep too much. Otherwise counts it.
  bool KeepState(const Statement& statement);
  // Refuses the statement and closes the session if the key does not admit it.
  // Otherwise the session has the key's workspace.
  bool Authorize();
  void FinishStatement(const Reply& reply);
  void ReplyLocally(ReplyCode code, const std::string& text);
  void Begin(const Statement& statement);
  void Rollback();
  void Submit(Statement statement);
  // Asks for the operation's place in the workspace's quota, then enqueues the
  // statement.
  void AdmitOperation();
  void SetUpConnection();
  void ContinueAfterSetup(size_t pending);
  void SendBegin();
  void SendStatement();
  void OnReply(Reply reply);
  // The terms on which the statement waits for a connection.
  WaitTerms Terms() const;
  void OnNotRun(const Reply& reply);
  // The pause before a statement that was refused as busy is sent again.
  absl::Duration NextBusyPause();
  void OnConnectionLost(const Error& error);
  void OnTimeout();
  void OnSlowRead();
  void Requeue(const std::string& cause,
               absl::Duration pause = absl::ZeroDuration());
  // Drops the connection and tells the caller that the transaction was aborted.
  void AbortTransaction(const std::string& cause,
                        absl::Duration retry_after = kDefaultRetryAfter);
  void ReleaseConnection();
  void DropConnection();
  bool CommitInFlight() const;
  // `position` is the primary's, as of its reply to the statement.
  void LogDecision(const char* outcome,
                   const std::string& cause,
                   std::optional<Position> position = std::nullopt) const;

  Gateway* const m_gateway;
  const std::string m_database;
  const std::string m_key;  // Never logged.
  // Of the open transaction or else of the latest statement; empty if the
  // caller needs none.
  WorkspaceName m_workspace;
  CallerLink* const m_link;
  SessionValues m_values;
  std::map<std::string, Prepared> m_prepared;
  size_t m_state_bytes = 0;  // Of m_values and m_prepared.
  Position m_last_write_position;

  bool m_in_transaction = false;
  bool m_read_only = false;
  // A statement of the transaction failed; the caller must end it.
  bool m_transaction_failed = false;
  // Why the target no longer has the open transaction; reported in the reply to
  // the caller's next statement. Empty while the transaction exists.
  std::string m_transaction_loss_cause;
  bool m_begun_at_target = false;
  bool m_wrote = false;
  // The caller received a reply to a statement that ran in the transaction, so
  // that the transaction cannot be restarted unnoticed.
  bool m_transaction_answered = false;
  absl::Time m_last_activity;
  Route m_transaction_route;

  // The open transaction has been counted against the workspace's quota.
  bool m_transaction_admitted = false;
  // Set while the statement waits for the workspace's quota.
  std::unique_ptr<QuotaGate::Ticket> m_quota_ticket;
  std::optional<TargetRequest> m_request;
  TargetConnection* m_connection = nullptr;
  // The statement itself was sent, not only its session setup.
  bool m_statement_sent = false;
  bool m_at_primary = false;
  std::optional<Position> m_required_position;
  absl::Time m_statement_sent_at;
  // Of the lease when the statement was sent to a primary.
  LeaseSource m_lease_source = LeaseSource::kNone;
  absl::Duration m_lease_age;
  std::unique_ptr<Timer> m_timeout_timer;
  std::unique_ptr<Timer> m_slow_read_timer;
  std::unique_ptr<Timer> m_retry_timer;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace heatherwick

#endif  // SOURCE_GATEWAY_CALLER_SESSION_H_
