// One caller's connection: its session values, prepared statements, open
// transaction, and the statement that is being served. A session serves one
// statement at a time.

#ifndef SOURCE_GATEWAY_CALLER_SESSION_H_
#define SOURCE_GATEWAY_CALLER_SESSION_H_

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "Source/gateway/configuration.h"
#include "Source/gateway/event_loop.h"
#include "Source/gateway/statement.h"
#include "Source/gateway/target_pool.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace heatherwick {

class Gateway;

// The way back to the caller.
class CallerLink {
 public:
  virtual ~CallerLink() = default;

  virtual void SendReply(const Reply& reply) = 0;
  // Ends the connection once everything sent has left. The session is
  // destroyed later.
  virtual void Close() = 0;
};

// What the statement in progress needs from a target.
struct TargetRequest {
  Statement statement;
  Route route;
  bool writes = false;  // Runs only on the primary.
  bool plain_transaction = false;
  bool in_transaction = false;
  absl::Time arrived;
  absl::Time give_up;  // Refused then unless it was sent before.
  absl::Time timeout;  // Of the statement.
  int attempts = 0;
  TargetId avoided;          // Target of the last failed attempt.
  std::string last_refusal;  // Why the last attempt did not run.
};

class CallerSession {
 public:
  CallerSession(Gateway* gateway, std::string database, CallerLink* link);
  ~CallerSession();

  void OnStatement(Statement statement);
  // True when closing the connection harms nothing.
  bool Idle() const { return !m_request && !m_in_transaction; }
  bool InTransaction() const { return m_in_transaction; }
  const std::string& Database() const { return m_database; }
  void CloseIdle();

  // The gateway's side.
  const TargetRequest* Waiting() const;
  // Position that the next read must see besides the route's allowed age.
  Position OwnPosition() const { return m_own_position; }
  const SessionValues& Values() const { return m_values; }
  // Serves the waiting statement on `connection`.
  void Run(TargetConnection* connection,
           std::optional<Position> required,
           bool at_primary);
  void Refuse(ReplyCode code, const std::string& cause);
  // Ends an open transaction and any statement in flight at the target,
  // because it may no longer be used.
  void AbandonTarget(const std::string& cause);
  bool Uses(const TargetPool* pool) const;
  bool UsesPrimaryOf(const GroupName& group) const;
  // Ends a transaction that stayed idle since before `deadline`.
  void EndIdleTransaction(absl::Time deadline);

 private:
  struct Prepared {
    StatementKind kind;
    std::string shape;
    std::string target_name;
  };

  void Answer(const Reply& reply);
  void AnswerLocally(ReplyCode code, const std::string& text);
  void Begin(const Statement& statement);
  void Rollback();
  void Submit(Statement statement);
  void SetUpSession();
  void OnSetUp(size_t pending);
  void SendBegin();
  void SendStatement();
  void OnReply(Reply reply);
  void OnNotRun(const Reply& reply);
  void OnLost(const Error& error);
  void OnTimeout();
  void OnSlowRead();
  void Requeue(const std::string& cause);
  // Drops the connection and tells the caller that nothing is kept.
  void LoseTransaction(const std::string& cause);
  void ReleaseConnection();
  void DropConnection();
  bool CommitInFlight() const;
  void Log(const char* outcome, const std::string& cause) const;

  Gateway* const m_gateway;
  const std::string m_database;
  CallerLink* const m_link;
  SessionValues m_values;
  std::map<std::string, Prepared> m_prepared;
  Position m_own_position;

  bool m_in_transaction = false;
  bool m_read_only = false;
  bool m_failed = false;  // Until the caller ends the transaction.
  // Why the open transaction no longer exists at a target; told at the next
  // statement. Empty while it exists.
  std::string m_lost_cause;
  bool m_begun = false;  // The transaction is open at the target.
  bool m_wrote = false;
  bool m_answered_any = false;  // A statement of it was answered.
  absl::Time m_last_activity;
  Route m_transaction_route;

  std::optional<TargetRequest> m_request;
  TargetConnection* m_connection = nullptr;
  bool m_sent = false;  // The statement itself is at the target.
  bool m_at_primary = false;
  std::optional<Position> m_required;
  absl::Time m_sent_at;
  std::unique_ptr<Timer> m_timeout_timer;
  std::unique_ptr<Timer> m_slow_timer;
  std::unique_ptr<Timer> m_retry_timer;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace heatherwick

#endif  // SOURCE_GATEWAY_CALLER_SESSION_H_
