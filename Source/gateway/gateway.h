// Routes callers' statements to targets. The gateway holds the configuration,
// the registered targets and their connection pools, and selects the target for
// each waiting statement. All functions run on the event loop's thread.

#ifndef SOURCE_GATEWAY_GATEWAY_H_
#define SOURCE_GATEWAY_GATEWAY_H_

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Source/base/decision_log.h"
#include "Source/base/metrics.h"
#include "Source/decision/crowd_admission.h"
#include "Source/decision/repeat_budget.h"
#include "Source/decision/workspace_access.h"
#include "Source/gateway/borrowing_driver.h"
#include "Source/gateway/caller_session.h"
#include "Source/gateway/configuration.h"
#include "Source/gateway/connection_lender.h"
#include "Source/gateway/event_loop.h"
#include "Source/gateway/leadership_manager.h"
#include "Source/gateway/load/lent_reads.h"
#include "Source/gateway/primary_position_history.h"
#include "Source/gateway/quota/quota_gate.h"
#include "Source/gateway/target_pool.h"

namespace heatherwick {

class Gateway : public GroupAccess, public PoolObserver {
 public:
  Gateway(DataCentreName data_centre,
          EventLoop* loop,
          TargetDriver* driver,
          Metrics* metrics,
          DecisionLog* decisions);
  ~Gateway() override;

  void SetLeadership(LeadershipManager* leadership);
  // Shares the connections of groups whose targets have too few for each
  // instance. Without this, such groups get a connection for each statement.
  void SetLending(BorrowingDriver* borrowing, ConnectionLender* lender);
  // Limits the operations of workspaces that have quotas. Without this, they
  // are not limited.
  void SetQuotaGate(QuotaGate* quota) { m_quota = quota; }
  void Start();

  // Applies the configuration if its version is newer than the current one.
  void OnConfiguration(Configuration configuration);
  // Replaces the list of targets by the complete list `targets`.
  void OnTargets(const std::vector<ListedTarget>& targets);

  // The configuration in use was the newest one at `as_of`.
  void OnConfigurationRead(absl::Time as_of);
  absl::Time ConfigurationAsOf() const { return m_access.AsOf(); }
  // See WorkspaceAccess::SetRevocationLimit().
  void SetRevocationLimit(std::optional<absl::Duration> limit) {
    m_access.SetRevocationLimit(limit);
  }
  // Whether the caller with this key may use the route now.
  Access CheckAccess(const std::string& key, const Route& route) const;

  bool Configured() const { return m_configuration.version > 0; }
  uint64_t ConfigurationVersion() const { return m_configuration.version; }
  // True when the instance can serve new callers.
  bool Ready() const;
  const Route* FindRoute(const std::string& database) const;

  // Makes Ready() false so that new callers are sent elsewhere. Callers that
  // still arrive are served.
  void ReportNotReady() { m_stopping = true; }
  // Starts a graceful stop: each session is closed as soon as its statement is
  // answered and no transaction is open.
  void BeginDrain();
  bool Draining() const { return m_draining; }
  // Ends open transactions whose commits are not in flight.
  void EndTransactions(const std::string& cause);
  size_t Sessions() const { return m_sessions.size(); }
  // Statements that wait for a target.
  size_t Waiting() const;

  // The pool of a target to which this instance has connections of its own, or
  // null.
  TargetPool* PoolToLend(const GroupName& group, const TargetId& target);
  // The newest position of the group's primary that this instance knows.
  LenderPosition NewestPosition(const GroupName& group);

  // Connections of this instance itself that are open.
  size_t TargetConnections() const;

  // The functions below are called by sessions.

  void AddSession(CallerSession* session);
  void RemoveSession(CallerSession* session);
  // True if operations of the workspace have to be admitted by its quota.
  bool HasQuota(const WorkspaceName& workspace) const {
    return m_quota != nullptr && m_quota->Limits(workspace);
  }
  std::unique_ptr<QuotaGate::Ticket> Admit(const WorkspaceName& workspace,
                                           int priority,
                                           QuotaGate::OnDecision done) {
    return m_quota->Admit(workspace, priority, std::move(done));
  }
  void Enqueue(CallerSession* session);
  void Dequeue(CallerSession* session);
  bool MayAcknowledge(const TargetPool* pool) const;
  // `position` is the one that the primary's reply to the commit showed.
  bool MayAcknowledgeCommit(const TargetPool* pool,
                            const std::optional<Position>& position) const;
  // False if any target may run the statement.
  static bool NeedsPrimary(const TargetRequest& request);
  // Whether the read that `pool` has not answered for `waited` is run again at
  // another target, which has to know `required`.
  bool MayRepeatRead(const TargetPool* pool,
                     std::optional<Position> required,
                     absl::Duration waited);
  void OnReadCompleted() { m_repeat_budget.OnCompleted(m_loop->Now()); }
  const GroupLeader& Leader(const GroupName& group) const;
  const LeadershipView& Leadership() const { return m_leadership->View(); }
  bool LeaseReturnsSoon() const { return m_leadership->LeaseReturnsSoon(); }
  void OnNotPrimaryReply(const TargetPool* pool);
  void RecordPrimaryReply(const TargetPool* pool,
                          absl::Time sent,
                          Position position);
  // The name of the prepared statement at targets, which is the same on every
  // connection.
  std::string PreparedNameAtTarget(StatementKind kind,
                                   const std::string& shape);
  EventLoop* Loop() const { return m_loop; }
  Metrics* GetMetrics() const { return m_metrics; }
  DecisionLog* Decisions() const { return m_decisions; }
  absl::Duration IdleTransactionTimeout() const {
    return m_configuration.idle_transaction_timeout;
  }

  // GroupAccess:
  std::vector<GroupName> Groups() const override;
  std::vector<ListedTarget> Targets(const GroupName& group) const override;
  absl::Time LastContact(const GroupName& group,
                         const TargetId& target) const override;
  void QueryStatus(
      const GroupName& group,
      const TargetId& target,
      absl::Duration timeout,
      std::function<void(std::optional<TargetStatus>)> done) override;
  uint32_t SyncReplicas(const GroupName& group) const override;
  void Quiesce(const GroupName& group,
               bool planned,
               std::function<void()> done) override;
  void OnLeaderChanged(const GroupName& group) override;

  // PoolObserver:
  void OnPoolChanged(TargetPool* pool) override;
  void CountConnection(absl::string_view event) override;

 private:
  struct Group {
    std::map<TargetId, std::unique_ptr<TargetPool>> pools;
    std::list<CallerSession*> waiting;  // By priority, then arrival time.
    // Of the waiting statements that must run at the primary and of those that
    // any target may run.
    CrowdAdmission primary_admission;
    CrowdAdmission any_admission;
    absl::Time backlog_logged = absl::InfinitePast();
    PrimaryPositionHistory position_history;
    uint64_t position_history_epoch = 0;
    // Connections are opened for a statement and closed soon after, because
    // there are too few for each instance to keep one.
    bool on_demand = false;
    // The group's connections are borrowed from its lenders, or lent to others.
    bool borrows = false;
    bool lends = false;
    LenderPlan lender_plan;
    // Members and limit for which lender_plan was made.
    uint64_t planned_revision = 0;
    size_t planned_limit = 0;
    bool refresh_in_progress = false;
    absl::Time last_refresh = absl::InfinitePast();
    bool dispatch_scheduled = false;
    std::function<void()> on_quiesced;
    absl::Time quiesce_deadline;
  };

  void UpdateAccess();
  void Tick();
  void TickGroup(const GroupName& name, Group* group);
  void UpdateLimits();
  void SetNeighbours(const GroupName& name,
                     const std::vector<FleetMember>& members,
                     const std::map<InstanceId, MemberRow>& rows);
  void UpdateLenders(const GroupName& name, Group* group, size_t limit);
  void ScheduleDispatch(const GroupName& name);
  void Dispatch(const GroupName& name);
  void ServeWaiting(const GroupName& name, Group* group, bool overdue);
  // Refuses the waiting statements that clearly cannot be served in time.
  void RefuseHopeless(const GroupName& name, Group* group);
  bool TryServe(const GroupName& name, Group* group, CallerSession* session);
  bool TryServeAtPrimary(const GroupName& name,
                         Group* group,
                         CallerSession* session);
  bool TryServeAtAnyTarget(const GroupName& name,
                           Group* group,
                           CallerSession* session,
                           Position required);
  // The same for groups whose connections this instance borrows.
  bool TryServeAtLentTarget(const GroupName& name,
                            Group* group,
                            CallerSession* session,
                            Position required);
  bool ServeOn(TargetPool* pool,
               CallerSession* session,
               std::optional<Position> required,
               bool at_primary);
  void RefreshPositionHistory(const GroupName& name, Group* group);
  // Asks a lender for a position. Returns true while its answer is awaited.
  bool AwaitLenderPosition(const GroupName& name, Group* group);
  void CheckQuiesced(const GroupName& name, Group* group);
  TargetPool* PrimaryPool(const GroupName& name);
  size_t WaitingCount(const Group& group) const { return group.waiting.size(); }

  const DataCentreName m_data_centre;
  EventLoop* const m_loop;
  TargetDriver* const m_driver;
  Metrics* const m_metrics;
  DecisionLog* const m_decisions;
  LeadershipManager* m_leadership = nullptr;
  BorrowingDriver* m_borrowing = nullptr;
  ConnectionLender* m_lender = nullptr;
  LentReads m_lent_reads;
  QuotaGate* m_quota = nullptr;
  RepeatBudget m_repeat_budget;
  Configuration m_configuration;
  WorkspaceAccess m_access;  // Has the keys of m_configuration.
  std::map<GroupName, Group> m_groups;
  std::set<CallerSession*> m_sessions;
  std::map<std::string, std::string> m_prepared_names;
  std::unique_ptr<Timer> m_tick_timer;
  bool m_stopping = false;
  bool m_draining = false;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace heatherwick

#endif  // SOURCE_GATEWAY_GATEWAY_H_
