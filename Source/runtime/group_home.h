// The home of one group: the instance that owns the group's queue. The home
// runs requests on the group's targets, waits until a majority confirms them,
// and replaces a failed primary. GroupHome connects the state machines of the
// decision library with the target driver.
//
// Each event handler takes the group's lock, passes the event to the state
// machines, and performs their driver calls and callbacks after it has released
// the lock. No driver call and no caller's callback runs under the lock.

#ifndef SOURCE_RUNTIME_GROUP_HOME_H_
#define SOURCE_RUNTIME_GROUP_HOME_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Source/base/decision_log.h"
#include "Source/base/metrics.h"
#include "Source/decision/commit_tracker.h"
#include "Source/decision/failover_controller.h"
#include "Source/decision/group_scheduler.h"
#include "Source/decision/session_token.h"
#include "Source/decision/sheet.h"
#include "Source/proto/operator.pb.h"
#include "Source/proto/proxy.pb.h"
#include "Source/runtime/cluster_view.h"
#include "Source/runtime/request_rules.h"
#include "Source/runtime/target_driver.h"
#include "Source/runtime/transaction_table.h"
#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/random/random.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace heatherwick {

// State that all homes of an instance share. It must outlive them.
struct HomeContext {
  MemberInfo self;
  TargetDriver* driver = nullptr;
  DecisionLog* decision_log = nullptr;
  Metrics* metrics = nullptr;
  SchedulerOptions scheduler;
};

class GroupHome : public std::enable_shared_from_this<GroupHome> {
 public:
  using Done = std::function<void(proto::ExecuteReply)>;

  static Result<std::shared_ptr<GroupHome>> Create(const HomeContext* context,
                                                   const GroupName& group);

  // All methods are thread-safe. Callbacks run on any thread, and may run
  // before the method returns.

  // Applies the rows of the sheet (the cluster's configuration table) that
  // concern the group.
  void OnSheet(const SheetSnapshot& snapshot);

  // `deadline` is the time at which the caller stops waiting. `done` is called
  // exactly once.
  void Execute(const proto::ExecuteRequest& request,
               absl::Time deadline,
               Done done);
  void Resolve(const proto::ResolveRequest& request,
               absl::Time deadline,
               Done done);

  // Drives the timers. Must be called every few milliseconds.
  void Tick();

  // False after Close, while this instance cannot reach a primary that a
  // replica can still reach, and while it cannot reach a majority of the group.
  bool CanServe() const;
  // Returns the number of requests and transactions that have not ended.
  size_t CountUnfinished() const;
  absl::Time LastUsed() const;
  void Describe(proto::GroupState* state) const;
  // Closes all connections. Requests in flight end as if their connection had
  // been lost.
  void Close();

 private:
  enum class Phase { kQueued, kRunning, kConfirming };

  struct ActiveRequest {
    proto::ExecuteRequest request;
    RequestRules rules;
    SessionToken token;
    absl::Time deadline;
    absl::Time started;
    Done done;  // Null once the reply has been sent.
    Phase phase = Phase::kQueued;
    // The request only resolves the outcome of its key and runs no statement.
    bool resolve = false;
    // An earlier attempt may have run, so the outcome must not be reported as
    // "not run" unless the target has refused the key.
    bool may_have_run = false;
    uint32_t attempts = 0;
    TransactionId transaction = 0;
    TargetId target;
    ConnectionId connection = 0;
    // Term of the primary that runs the request; 0 when a replica runs it.
    uint64_t term = 0;
    absl::Time statement_started;
    proto::ExecuteReply reply;  // Sent once `position` is confirmed.
    Position position;
  };

  struct Connection {
    TargetId target;
    std::shared_ptr<TargetConnection> stream;  // Null until it is open.
    bool close_requested = false;
  };

  // Functions that run after the lock has been released.
  using Deferred = std::vector<std::function<void()>>;
  // Runs the deferred functions at the end of an event. It is declared before
  // the MutexLock, so that its destructor runs after the lock is released.
  class DeferredRunner;

  GroupHome(const HomeContext* context,
            GroupName group,
            std::unique_ptr<GroupScheduler> scheduler);

  // Passes a request to the scheduler: a new one, or one that is repeated or
  // resolved because an earlier attempt may have run.
  void Enqueue(ActiveRequest active, absl::Time now, Deferred* deferred)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  Status AttachTransaction(ActiveRequest* active, absl::Time now)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  // Handles a request whose statement may or may not have taken effect:
  // repeats the request, resolves its key, or reports the outcome as unknown.
  void HandleUnknownOutcome(ActiveRequest active,
                            ErrorKind kind,
                            absl::string_view cause,
                            absl::Time now,
                            Deferred* deferred)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

  void Apply(const std::vector<SchedulerAction>& actions, Deferred* deferred)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void Apply(const std::vector<CommitAction>& actions,
             absl::Time now,
             Deferred* deferred) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void Apply(const std::vector<FailoverAction>& actions,
             absl::Time now,
             Deferred* deferred) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

  void Start(const StartStatement& start, absl::Time now, Deferred* deferred)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void Refuse(const RefuseRequest& refuse, Deferred* deferred)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void Open(const OpenConnection& open, Deferred* deferred)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void CloseStream(const CloseConnection& close, Deferred* deferred)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void ReadStatus(const TargetId& target, Deferred* deferred)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void Fence(const FenceTarget& fence, Deferred* deferred)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void Promote(const PromoteTarget& promote, Deferred* deferred)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void WaitForConfirmation(const WaitForPosition& wait, Deferred* deferred)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void AdoptPrimary(const PrimaryKnown& primary,
                    absl::Time now,
                    Deferred* deferred) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

  // Replies and events from the driver.
  void OnOpened(const TargetId& target,
                ConnectionId connection,
                Result<std::shared_ptr<TargetConnection>> result);
  void OnClosed(const TargetId& target, ConnectionId connection);
  void OnStatementReply(RequestId id, Result<proto::StatementReply> result);
  void OnStatusReply(const TargetId& target, Result<proto::StatusReply> result);

  // Helpers of OnStatementReply.
  void Finish(ActiveRequest active,
              const proto::StatementReply& reply,
              RequestId id,
              absl::Time now,
              Deferred* deferred) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void UpdateTransaction(const ActiveRequest& active,
                         const proto::StatementReply& reply,
                         absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  // Returns the position whose confirmation also confirms the reply's position.
  // Returns a position of term 0, which is never confirmed, when the primary
  // that ran the request has been replaced.
  Position PositionToConfirm(const ActiveRequest& active,
                             const proto::StatementReply& reply) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void ExpireRequests(absl::Time now, Deferred* deferred)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void ExpireTransactions(absl::Time now, Deferred* deferred)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

  // Sends the reply unless it has been sent already.
  void Reply(ActiveRequest* active, Deferred* deferred)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void ReplyError(ActiveRequest* active,
                  proto::Outcome outcome,
                  const Error& error,
                  Deferred* deferred) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void Log(absl::string_view decision,
           absl::string_view reason,
           std::vector<std::pair<absl::string_view, std::string>> fields) const;
  std::string AddressOf(const TargetId& target) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

  const HomeContext* const m_context;
  const GroupName m_group;
  // Unique for each start of a home. Part of the transaction handles, and sent
  // to targets as the `decider` of a fence or promotion.
  const std::string m_home_id;

  mutable absl::Mutex m_mutex;
  absl::BitGen m_random ABSL_GUARDED_BY(m_mutex);
  std::unique_ptr<GroupScheduler> m_scheduler ABSL_GUARDED_BY(m_mutex);
  CommitTracker m_tracker ABSL_GUARDED_BY(m_mutex);
  FailoverController m_failover ABSL_GUARDED_BY(m_mutex);

  SheetSnapshot m_sheet ABSL_GUARDED_BY(m_mutex);
  std::map<TargetId, TargetRow> m_targets ABSL_GUARDED_BY(m_mutex);
  std::map<TargetId, proto::StatusReply> m_statuses ABSL_GUARDED_BY(m_mutex);
  std::optional<TargetId> m_primary ABSL_GUARDED_BY(m_mutex);
  uint64_t m_term ABSL_GUARDED_BY(m_mutex) = 0;
  // Position of an entry of m_term in the primary's log; its term is 0 while no
  // such entry is known.
  Position m_term_position ABSL_GUARDED_BY(m_mutex);
  // End of the log as reported by the latest successful promotion.
  Position m_promoted_position ABSL_GUARDED_BY(m_mutex);
  std::map<TargetId, bool> m_reachable ABSL_GUARDED_BY(m_mutex);
  // Connections over which statements were sent to the current primary.
  absl::flat_hash_set<ConnectionId> m_primary_connections
      ABSL_GUARDED_BY(m_mutex);
  bool m_can_serve ABSL_GUARDED_BY(m_mutex) = true;
  bool m_closed ABSL_GUARDED_BY(m_mutex) = false;

  RequestId m_last_request ABSL_GUARDED_BY(m_mutex) = 0;
  absl::flat_hash_map<RequestId, ActiveRequest> m_active
      ABSL_GUARDED_BY(m_mutex);
  TransactionTable m_transactions ABSL_GUARDED_BY(m_mutex);
  absl::flat_hash_map<ConnectionId, Connection> m_connections
      ABSL_GUARDED_BY(m_mutex);
  absl::Time m_last_used ABSL_GUARDED_BY(m_mutex);
};

}  // namespace heatherwick

#endif  // SOURCE_RUNTIME_GROUP_HOME_H_
