// The home of one group: runs requests on the group's targets, confirms
// them, and replaces a failed primary. It connects the state machines of the
// decision library with the target driver.
//
// Every event takes the group's own lock, lets the state machines decide and
// carries their actions out after the lock is released, so that no driver
// call and no caller's callback runs under it.

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

// What all homes of an instance share; outlives them.
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

  // Applies the group's rows of the sheet.
  void OnSheet(const SheetSnapshot& snapshot);

  // `deadline` is when the caller gives up; `done` is called once.
  void Execute(const proto::ExecuteRequest& request,
               absl::Time deadline,
               Done done);
  void Resolve(const proto::ResolveRequest& request,
               absl::Time deadline,
               Done done);

  // Call every few milliseconds.
  void Tick();

  // False while this instance cannot reach a primary that others still hear,
  // or cannot reach a majority of the group.
  bool Fit() const;
  // Requests and transactions that have not ended.
  size_t Active() const;
  absl::Time LastUsed() const;
  void Describe(proto::GroupState* state) const;
  // Closes all connections; requests in flight end as lost.
  void Close();

 private:
  enum class Phase { kQueued, kRunning, kConfirming };

  struct ActiveRequest {
    proto::ExecuteRequest request;
    RequestRules rules;
    SessionToken token;
    absl::Time deadline;
    absl::Time started;
    Done done;  // Null after the reply.
    Phase phase = Phase::kQueued;
    // The request settles its key and runs nothing.
    bool resolve = false;
    // An earlier attempt may have run, so "not run" must not be said unless
    // the key has been refused.
    bool may_have_run = false;
    uint32_t attempts = 0;
    TransactionId transaction = 0;
    TargetId target;
    ConnectionId connection = 0;
    // Term of the primary that runs it; 0 when a replica does.
    uint64_t term = 0;
    absl::Time statement_started;
    proto::ExecuteReply reply;  // Sent once the position is confirmed.
    Position position;
  };

  struct Connection {
    TargetId target;
    std::shared_ptr<TargetConnection> stream;  // Null while it opens.
    bool close_requested = false;
  };

  // Work to be done after the lock is released.
  using Deferred = std::vector<std::function<void()>>;
  // Runs the deferred work at the end of an event.
  class DeferredRunner;

  GroupHome(const HomeContext* context,
            GroupName group,
            std::unique_ptr<GroupScheduler> scheduler);

  // Entry of a request, and the repetition of one that may have run.
  void Admit(ActiveRequest active, absl::Time now, Deferred* deferred)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  Status AdmitTransaction(ActiveRequest* active, absl::Time now)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  // Settles a request whose statement may or may not have taken effect:
  // repeats it, resolves its key, or reports the outcome as unknown.
  void Settle(ActiveRequest active,
              ErrorKind kind,
              absl::string_view what,
              absl::Time now,
              Deferred* deferred) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

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
  void CloseOne(const CloseConnection& close, Deferred* deferred)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void ReadStatus(const TargetId& target, Deferred* deferred)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void Fence(const FenceTarget& fence, Deferred* deferred)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void Promote(const PromoteTarget& promote, Deferred* deferred)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void Wait(const WaitForPosition& wait, Deferred* deferred)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void AdoptPrimary(const PrimaryKnown& primary,
                    absl::Time now,
                    Deferred* deferred) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

  // Answers of the driver.
  void OnOpened(const TargetId& target,
                ConnectionId connection,
                Result<std::shared_ptr<TargetConnection>> result);
  void OnClosed(const TargetId& target, ConnectionId connection);
  void OnStatementReply(RequestId id, Result<proto::StatementReply> result);
  void OnStatusReply(const TargetId& target, Result<proto::StatusReply> result);

  // Parts of OnStatementReply.
  void Finish(ActiveRequest active,
              const proto::StatementReply& reply,
              RequestId id,
              absl::Time now,
              Deferred* deferred) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void FinishTransactionStep(const ActiveRequest& active,
                             const proto::StatementReply& reply,
                             absl::Time now)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  // The position whose confirmation also confirms the reply's; of term 0, which
  // is never confirmed, when the primary that ran it has been replaced.
  Position PositionToConfirm(const ActiveRequest& active,
                             const proto::StatementReply& reply) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void ExpireRequests(absl::Time now, Deferred* deferred)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void ExpireTransactions(absl::Time now, Deferred* deferred)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

  // Sends the reply, once.
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
  // Unique for each start of this home; part of the transactions' handles
  // and of the decider's name.
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
  // An entry of m_term in the primary's log; term 0 while none is known.
  Position m_term_position ABSL_GUARDED_BY(m_mutex);
  // End of the log that the latest promotion has reported.
  Position m_promoted_position ABSL_GUARDED_BY(m_mutex);
  std::map<TargetId, bool> m_reachable ABSL_GUARDED_BY(m_mutex);
  // Connections over which the primary has been used.
  absl::flat_hash_set<ConnectionId> m_primary_connections
      ABSL_GUARDED_BY(m_mutex);
  bool m_fit ABSL_GUARDED_BY(m_mutex) = true;
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
