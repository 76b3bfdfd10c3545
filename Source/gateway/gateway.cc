// Dispatches waiting statements, records the primary's log positions for reads,
// and maintains the connection pools.

#include "Source/gateway/gateway.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "Source/base/hash.h"
#include "Source/gateway/quota/member_fleet_view.h"
#include "absl/strings/str_cat.h"
#include "glog/logging.h"

namespace heatherwick {
namespace {

constexpr absl::Duration kTickPeriod = absl::Milliseconds(50);
// Subtracted from a read's maximum staleness to allow for the time that the
// read takes to reach the target and for the inaccuracy of the caller's clock.
constexpr absl::Duration kStalenessMargin = absl::Milliseconds(150);
// The primary's position is queried again this long before the newest known
// position becomes too old for a read.
constexpr absl::Duration kRefreshMargin = absl::Milliseconds(500);
// Minimum time between two such status queries, also when they fail.
constexpr absl::Duration kRefreshInterval = absl::Milliseconds(100);
constexpr absl::Duration kStatusTimeout = absl::Milliseconds(400);
// A primary that leaves a command unanswered for this long is reported as
// unresponsive.
constexpr absl::Duration kPrimarySilenceTimeout = absl::Milliseconds(450);
// An instance without a valid lease refuses waiting statements after this time
// and closes the session, so that the caller connects to another instance.
constexpr absl::Duration kNoLeaseTimeout = absl::Milliseconds(60);
// A draining instance closes sessions that have been idle for this long. A
// caller that has just connected or received a reply may be about to send.
constexpr absl::Duration kDrainIdleTimeout = absl::Milliseconds(200);
// A planned change of the primary waits this long for open transactions.
constexpr absl::Duration kPlannedQuiesceTimeout = absl::Milliseconds(800);
// The instances' equal shares use only half of the connection limit: after all
// machines lose power, targets keep the old connections for 3 s, and the
// restarted instances need the other half.
constexpr size_t kShareDivisor = 2;
// Connections beyond the share for bursts; they are closed when idle.
constexpr size_t kBurstConnections = 1;
// Maximum connections of one instance to one target if the connection limit is
// lower than the number of instances.
constexpr size_t kOnDemandConnections = 2;
// Statements and transactions of one instance that borrow from a target's
// lenders at the same time. The lenders queue them.
constexpr size_t kBorrowedConnections = 32;
// Instances that may be asked for a connection while the target accepts none of
// this instance.
constexpr size_t kNeighbours = 8;
// A lender refreshes a position that is older than this when it is asked.
constexpr absl::Duration kLenderPositionAge = absl::Milliseconds(400);
constexpr absl::Duration kLenderPositionTimeout = absl::Milliseconds(150);
// Loans of borrowers that ended without returning them are ended this long
// after the limit for idle transactions.
constexpr absl::Duration kIdleLoanMargin = absl::Seconds(1);
// Expected additional latency of a target in another data centre.
constexpr absl::Duration kRemoteLatencyPenalty = absl::Milliseconds(4);
// Multiplies the primary's score so that reads prefer replicas.
constexpr double kPrimaryLoadFactor = 1.5;
// Between two log lines about statements of a group that are refused because of
// its backlog.
constexpr absl::Duration kBacklogLogInterval = absl::Seconds(1);
// Limits the memory for names when callers keep preparing new shapes.
constexpr size_t kMaxPreparedNames = 10000;

}  // namespace

Gateway::Gateway(DataCentreName data_centre,
                 EventLoop* loop,
                 TargetDriver* driver,
                 Metrics* metrics,
                 DecisionLog* decisions)
    : m_data_centre(std::move(data_centre)),
      m_loop(loop),
      m_driver(driver),
      m_metrics(metrics),
      m_decisions(decisions),
      m_lent_reads(loop, metrics) {}

Gateway::~Gateway() {
  SetLending(nullptr, nullptr);
  *m_alive = false;
}

void Gateway::SetLeadership(LeadershipManager* leadership) {
  m_leadership = leadership;
}

void Gateway::SetLending(BorrowingDriver* borrowing, ConnectionLender* lender) {
  if (m_borrowing != nullptr) {
    m_borrowing->SetObserver(nullptr);
  }
  m_borrowing = borrowing;
  m_lender = lender;
  if (m_borrowing != nullptr) {
    m_borrowing->SetMetrics(m_metrics);
    m_borrowing->SetObserver(&m_lent_reads);
  }
  if (m_lender != nullptr) {
    m_lender->SetMetrics(m_metrics);
  }
}

void Gateway::Start() {
  Tick();
}

void Gateway::OnConfiguration(Configuration configuration) {
  if (configuration.version <= m_configuration.version) {
    return;
  }
  LOG(INFO) << "event=configuration version=" << configuration.version
            << " replaced=" << m_configuration.version
            << " routes=" << configuration.routes.size()
            << " groups=" << configuration.groups.size();
  for (const GroupName& name : configuration.invalid_groups) {
    const auto known = m_configuration.groups.find(name);
    if (known != m_configuration.groups.end()) {
      configuration.groups.try_emplace(name, known->second);
    }
  }
  for (const WorkspaceName& name : configuration.invalid_quotas) {
    const auto known = m_configuration.workspaces.find(name);
    if (known != m_configuration.workspaces.end()) {
      configuration.workspaces.at(name).quota = known->second.quota;
    }
  }
  m_configuration = std::move(configuration);
  UpdateAccess();
  for (const auto& [name, settings] : m_configuration.groups) {
    m_groups[name];
  }
  UpdateLimits();
}

void Gateway::UpdateAccess() {
  if (!m_configuration.has_workspaces) {
    m_access.AdmitAll();
    if (m_quota != nullptr) {
      m_quota->OnQuotas({});
    }
    return;
  }
  if (m_quota != nullptr) {
    std::map<WorkspaceName, WorkspaceQuota> quotas;
    for (const auto& [name, workspace] : m_configuration.workspaces) {
      if (workspace.quota) {
        quotas.emplace(name, *workspace.quota);
      }
    }
    m_quota->OnQuotas(std::move(quotas));
  }
  absl::flat_hash_map<std::string, WorkspaceName> keys;
  for (const auto& [name, workspace] : m_configuration.workspaces) {
    for (const std::string& key : workspace.keys) {
      keys.emplace(key, name);
    }
  }
  m_access.SetKeys(std::move(keys));
  for (CallerSession* session : std::set(m_sessions)) {
    session->OnKeysChanged();
  }
}

void Gateway::OnConfigurationRead(absl::Time as_of) {
  m_access.OnReading(as_of);
}

Access Gateway::CheckAccess(const std::string& key, const Route& route) const {
  return m_access.Check(key, route.is_public, m_loop->Now());
}

void Gateway::OnTargets(const std::vector<ListedTarget>& targets) {
  std::map<GroupName, std::set<TargetId>> listed;
  for (const ListedTarget& target : targets) {
    Group& group = m_groups[target.group];
    listed[target.group].insert(target.id);
    std::unique_ptr<TargetPool>& pool = group.pools[target.id];
    const bool restarted =
        pool && (pool->Target().address != target.address ||
                 pool->Target().started_unix_ms != target.started_unix_ms);
    if (restarted) {
      for (CallerSession* session : std::set(m_sessions)) {
        if (session->UsesPool(pool.get())) {
          session->StopUsingTarget("the target restarted");
        }
      }
    }
    if (!pool || restarted) {
      LOG(INFO) << "event=target_listed target=" << target.id
                << " group=" << target.group << " address=" << target.address
                << " data_centre=" << target.data_centre;
      pool = std::make_unique<TargetPool>(target, m_loop, m_driver, this);
    } else {
      if (pool->Target().draining != target.draining) {
        LOG(INFO) << "event=target_draining target=" << target.id
                  << " draining=" << target.draining;
      }
      pool->Update(target);
    }
  }
  for (auto& [name, group] : m_groups) {
    for (auto pool = group.pools.begin(); pool != group.pools.end();) {
      if (listed[name].contains(pool->first)) {
        ++pool;
        continue;
      }
      LOG(INFO) << "event=target_gone target=" << pool->first
                << " group=" << name;
      for (CallerSession* session : std::set(m_sessions)) {
        if (session->UsesPool(pool->second.get())) {
          session->StopUsingTarget("the target is no longer listed");
        }
      }
      pool = group.pools.erase(pool);
    }
    ScheduleDispatch(name);
  }
  UpdateLimits();
}

bool Gateway::Ready() const {
  return Configured() && !m_stopping && m_leadership->LeaseValid() &&
         m_access.Fresh(m_loop->Now());
}

const Route* Gateway::FindRoute(const std::string& database) const {
  const auto found = m_configuration.routes.find(database);
  return found == m_configuration.routes.end() ? nullptr : &found->second;
}

void Gateway::UpdateLimits() {
  const size_t members = m_leadership ? m_leadership->MemberCount() : 1;
  for (auto& [name, group] : m_groups) {
    const auto settings = m_configuration.groups.find(name);
    const size_t limit = settings == m_configuration.groups.end()
                             ? 1
                             : settings->second.max_connections;
    const size_t share = limit / kShareDivisor / members;
    if (m_borrowing != nullptr) {
      UpdateLenders(name, &group, limit);
    }
    // When there are fewer connections than instances, each instance opens one
    // only for a statement and closes it soon after, or borrows one.
    group.on_demand = limit < members && !group.lends;
    for (auto& [id, pool] : group.pools) {
      if (group.lends) {
        pool->SetLimits(group.lender_plan.connections,
                        group.lender_plan.connections);
      } else if (group.borrows) {
        pool->SetLimits(0, kBorrowedConnections);
      } else if (group.on_demand) {
        pool->SetLimits(0, kOnDemandConnections);
      } else {
        pool->SetLimits(std::max<size_t>(1, share),
                        std::max<size_t>(1, share) + kBurstConnections);
      }
    }
  }
}

void Gateway::UpdateLenders(const GroupName& name, Group* group, size_t limit) {
  if (group->planned_limit == limit &&
      group->planned_revision == m_leadership->SharingRevision()) {
    return;
  }
  group->planned_limit = limit;
  group->planned_revision = m_leadership->SharingRevision();
  const std::map<InstanceId, MemberRow> rows = m_leadership->SharingMembers();
  std::vector<FleetMember> members = FleetMembers(rows);
  group->lender_plan = PlanLenders(name, members, limit, m_leadership->Self());
  const LenderPlan& plan = group->lender_plan;
  group->lends = plan.self_lends;
  group->borrows = !plan.lenders.empty() && !plan.self_lends;
  std::vector<BorrowingDriver::Lender> lenders;
  if (group->borrows) {
    for (const InstanceId& id : plan.lenders) {
      const MemberRow& lender = rows.at(id);
      lenders.push_back(
          {id, lender.peer_address, lender.data_centre == m_data_centre});
    }
  }
  m_borrowing->SetLenders(name, std::move(lenders));
  if (plan.self_lends) {
    std::erase_if(members, [&plan](const FleetMember& member) {
      return std::find(plan.lenders.begin(), plan.lenders.end(), member.id) ==
             plan.lenders.end();
    });
  }
  SetNeighbours(name, members, rows);
}

void Gateway::SetNeighbours(const GroupName& name,
                            const std::vector<FleetMember>& members,
                            const std::map<InstanceId, MemberRow>& rows) {
  const InstanceId& self = m_leadership->Self();
  std::vector<std::tuple<bool, uint64_t, InstanceId>> ranked;
  for (const FleetMember& member : members) {
    if (member.id != self) {
      ranked.emplace_back(member.data_centre != m_data_centre,
                          StableHash(member.id, StableHash(self)), member.id);
    }
  }
  std::sort(ranked.begin(), ranked.end());
  ranked.resize(std::min(ranked.size(), kNeighbours));
  std::vector<BorrowingDriver::Lender> neighbours;
  neighbours.reserve(ranked.size());
  for (const auto& [remote, hash, id] : ranked) {
    neighbours.push_back({id, rows.at(id).peer_address, !remote});
  }
  m_borrowing->SetNeighbours(name, std::move(neighbours));
}

TargetPool* Gateway::PoolToLend(const GroupName& group,
                                const TargetId& target) {
  const auto found = m_groups.find(group);
  if (found == m_groups.end() || found->second.borrows) {
    return nullptr;
  }
  const auto pool = found->second.pools.find(target);
  return pool == found->second.pools.end() ? nullptr : pool->second.get();
}

LenderPosition Gateway::NewestPosition(const GroupName& group) {
  const auto found = m_groups.find(group);
  const GroupLeader& leader = m_leadership->View().Leader(group);
  if (found == m_groups.end() || leader.phase != LeaderPhase::kOpen) {
    return {};
  }
  const absl::Time now = m_loop->Now();
  const absl::Time newest = found->second.position_history.NewestSendTime();
  if (now - newest > kLenderPositionAge) {
    RefreshPositionHistory(group, &found->second);
  }
  const std::optional<Position> position =
      found->second.position_history.LowestPositionCovering(newest);
  if (!position) {
    return {};
  }
  return {leader.epoch, *position, now - newest};
}

// --- Sessions ----------------------------------------------------------------

void Gateway::AddSession(CallerSession* session) {
  m_sessions.insert(session);
}

void Gateway::RemoveSession(CallerSession* session) {
  Dequeue(session);
  m_sessions.erase(session);
}

void Gateway::BeginDrain() {
  if (m_lender != nullptr) {
    m_lender->BeginDrain();
  }
  m_draining = true;
}

void Gateway::EndTransactions(const std::string& cause) {
  for (CallerSession* session : std::set(m_sessions)) {
    session->EndTransaction(cause);
  }
}

void Gateway::Enqueue(CallerSession* session) {
  const TargetRequest& request = *session->WaitingRequest();
  std::list<CallerSession*>& waiting = m_groups[request.route.group].waiting;
  auto entry = waiting.end();
  while (entry != waiting.begin()) {
    const TargetRequest* previous_request =
        (*std::prev(entry))->WaitingRequest();
    if (previous_request == nullptr ||
        previous_request->route.priority < request.route.priority ||
        (previous_request->route.priority == request.route.priority &&
         previous_request->arrival_time <= request.arrival_time)) {
      break;
    }
    --entry;
  }
  waiting.insert(entry, session);
  ScheduleDispatch(request.route.group);
}

void Gateway::Dequeue(CallerSession* session) {
  for (auto& [name, group] : m_groups) {
    group.waiting.remove(session);
  }
}

bool Gateway::MayAcknowledge(const TargetPool* pool) const {
  return m_leadership->MayAcknowledge(pool->Target().group, pool->Target().id);
}

bool Gateway::MayAcknowledgeCommit(
    const TargetPool* pool,
    const std::optional<Position>& position) const {
  // A primary that was deposed and promoted again leads in a higher term. It
  // may have lost what it committed before. A repeated order can also take a
  // primary that was never deposed to a higher term than the row's.
  const uint64_t term = Leader(pool->Target().group).term;
  return MayAcknowledge(pool) &&
         (!position || term == 0 || position->term >= term);
}

bool Gateway::MayRepeatRead(const TargetPool* pool,
                            std::optional<Position> required,
                            absl::Duration waited) {
  const absl::Time now = m_loop->Now();
  std::optional<absl::Duration> fastest;
  for (const auto& [id, other] : m_groups[pool->Target().group].pools) {
    const std::optional<absl::Duration> latency = other->KnownLatency();
    if (other.get() != pool && latency && !other->Target().draining &&
        !other->OpeningFails() &&
        (!required || other->MayHavePosition(*required, now)) &&
        (!fastest || *latency < *fastest)) {
      fastest = latency;
    }
  }
  const RepeatOutcome outcome =
      m_repeat_budget.OnSlowRead(waited, fastest, now);
  m_metrics->Count(absl::StrCat("slow_reads/", RepeatOutcomeName(outcome)));
  return outcome == RepeatOutcome::kAllowed;
}

const GroupLeader& Gateway::Leader(const GroupName& group) const {
  return m_leadership->View().Leader(group);
}

void Gateway::OnNotPrimaryReply(const TargetPool* pool) {
  m_leadership->ReportDemotedPrimary(pool->Target().group);
}

void Gateway::RecordPrimaryReply(const TargetPool* pool,
                                 absl::Time sent,
                                 Position position) {
  if (!MayAcknowledge(pool)) {
    return;
  }
  m_groups[pool->Target().group].position_history.Add(sent, position);
}

std::string Gateway::PreparedNameAtTarget(StatementKind kind,
                                          const std::string& shape) {
  const std::string key = absl::StrCat(StatementKindName(kind), "/", shape);
  const auto found = m_prepared_names.find(key);
  if (found != m_prepared_names.end()) {
    return found->second;
  }
  if (m_prepared_names.size() >= kMaxPreparedNames) {
    // Names that are still in use stay valid, because numbers are never reused.
    m_prepared_names.clear();
  }
  static uint64_t number = 0;
  return m_prepared_names[key] = absl::StrCat("p", ++number);
}

// --- Dispatch ----------------------------------------------------------------

void Gateway::OnPoolChanged(TargetPool* pool) {
  if (m_lender != nullptr) {
    m_lender->OnPoolChanged(pool);
  }
  ScheduleDispatch(pool->Target().group);
}

void Gateway::CountConnection(absl::string_view event) {
  m_metrics->Count(absl::StrCat("target_connections/", event));
}

size_t Gateway::Waiting() const {
  size_t count = 0;
  for (const auto& [name, group] : m_groups) {
    count += group.waiting.size();
  }
  return count;
}

size_t Gateway::TargetConnections() const {
  size_t count = 0;
  for (const auto& [name, group] : m_groups) {
    for (const auto& [id, pool] : group.pools) {
      count += pool->OwnOpenCount();
    }
  }
  return count;
}

void Gateway::ScheduleDispatch(const GroupName& name) {
  Group& group = m_groups[name];
  if (group.dispatch_scheduled) {
    return;
  }
  group.dispatch_scheduled = true;
  m_loop->Post([this, name, alive = m_alive]() {
    if (*alive) {
      m_groups[name].dispatch_scheduled = false;
      Dispatch(name);
    }
  });
}

void Gateway::ServeWaiting(const GroupName& name, Group* group, bool overdue) {
  const absl::Time now = m_loop->Now();
  for (auto entry = group->waiting.begin(); entry != group->waiting.end();) {
    CallerSession* const session = *entry;
    const auto next = std::next(entry);
    const TargetRequest* const request = session->WaitingRequest();
    CrowdAdmission* const admission =
        request != nullptr && NeedsPrimary(*request) ? &group->primary_admission
                                                     : &group->any_admission;
    if (request == nullptr) {
      group->waiting.erase(entry);
    } else if ((now > request->arrival_time +
                          request->route.latency_objective) == overdue &&
               TryServe(name, group, session)) {
      group->waiting.erase(entry);
      admission->OnServed(now);
    }
    entry = next;
  }
}

void Gateway::Dispatch(const GroupName& name) {
  Group& group = m_groups[name];
  // In a backlog, statements that can still meet their latency objective are
  // served before those that cannot.
  ServeWaiting(name, &group, false);
  ServeWaiting(name, &group, true);
  RefuseHopeless(name, &group);
  CheckQuiesced(name, &group);
}

bool Gateway::NeedsPrimary(const TargetRequest& request) {
  return request.writes || request.read_write_transaction ||
         request.route.consistency == Consistency::kCurrent;
}

void Gateway::RefuseHopeless(const GroupName& name, Group* group) {
  const absl::Time now = m_loop->Now();
  size_t waiting_for_primary = 0;
  for (CallerSession* session : group->waiting) {
    const TargetRequest* const request = session->WaitingRequest();
    waiting_for_primary += request != nullptr && NeedsPrimary(*request) ? 1 : 0;
  }
  const size_t waiting_for_any = group->waiting.size() - waiting_for_primary;
  group->any_admission.OnWaiting(waiting_for_any, now);
  group->primary_admission.OnWaiting(waiting_for_primary, now);
  struct Refused {
    CallerSession* session;
    absl::Duration retry_after;
  };
  std::vector<Refused> refused;
  // By whether the primary is needed, and by workspace: those of other
  // workspaces may be served first, but need not.
  std::map<std::pair<bool, WorkspaceName>, size_t> ahead;
  // In the order of service. A refused statement is not ahead of others.
  for (const bool overdue : {false, true}) {
    for (CallerSession* session : group->waiting) {
      const TargetRequest* const request = session->WaitingRequest();
      if (request == nullptr ||
          (now > request->arrival_time + request->route.latency_objective) !=
              overdue) {
        continue;
      }
      const bool needs_primary = NeedsPrimary(*request);
      const CrowdAdmission& admission =
          needs_primary ? group->primary_admission : group->any_admission;
      size_t& before = ahead[{needs_primary, request->workspace}];
      const std::optional<absl::Duration> retry_after = admission.CheckHopeless(
          before, needs_primary ? waiting_for_primary : waiting_for_any,
          request->queue_deadline, StableHash(request->statement.id), now);
      if (retry_after) {
        refused.push_back({session, *retry_after});
      } else {
        ++before;
      }
    }
  }
  if (!refused.empty() && now - group->backlog_logged >= kBacklogLogInterval) {
    group->backlog_logged = now;
    LOG(INFO) << "event=backlog group=" << name
              << " waiting_for_primary=" << waiting_for_primary
              << " waiting_for_any=" << waiting_for_any
              << " refused=" << refused.size();
  }
  for (const auto& [session, retry_after] : refused) {
    if (session->WaitingRequest() == nullptr) {
      continue;
    }
    m_metrics->Count("refusals/backlog");
    Dequeue(session);
    session->Refuse(ReplyCode::kBusy, "the backlog is too long", retry_after);
  }
}

TargetPool* Gateway::PrimaryPool(const GroupName& name) {
  const std::optional<TargetId> primary = m_leadership->UsablePrimary(name);
  if (!primary) {
    return nullptr;
  }
  const auto found = m_groups[name].pools.find(*primary);
  return found == m_groups[name].pools.end() ? nullptr : found->second.get();
}

bool Gateway::TryServe(const GroupName& name,
                       Group* group,
                       CallerSession* session) {
  const TargetRequest& request = *session->WaitingRequest();
  if (NeedsPrimary(request)) {
    return TryServeAtPrimary(name, group, session);
  }
  const absl::Time now = m_loop->Now();
  const absl::Duration staleness_limit = std::max(
      request.route.max_staleness - kStalenessMargin, absl::ZeroDuration());
  const std::optional<Position> covering_position =
      group->position_history.LowestPositionCovering(request.arrival_time -
                                                     staleness_limit);
  // On-demand groups have no connection to spare for a status query; there,
  // reads at the primary provide the positions.
  if (!group->on_demand && now - group->position_history.NewestSendTime() >
                               staleness_limit - kRefreshMargin) {
    RefreshPositionHistory(name, group);
  }
  if (!covering_position) {
    return !AwaitLenderPosition(name, group) &&
           TryServeAtPrimary(name, group, session);
  }
  Position required = *covering_position;
  if (request.route.consistency == Consistency::kReadYourWrites) {
    required = std::max(required, session->LastWritePosition());
  }
  return TryServeAtAnyTarget(name, group, session, required);
}

bool Gateway::ServeOn(TargetPool* pool,
                      CallerSession* session,
                      std::optional<Position> required,
                      bool at_primary) {
  TargetConnection* const connection =
      pool->Acquire(session->WaitingRequest()->workspace, session->Values());
  if (connection == nullptr) {
    return false;
  }
  session->RunStatement(connection, required, at_primary);
  return true;
}

bool Gateway::TryServeAtPrimary(const GroupName& name,
                                Group* group,
                                CallerSession* session) {
  TargetPool* const pool = PrimaryPool(name);
  if (pool == nullptr) {
    return false;
  }
  if (ServeOn(pool, session, std::nullopt, true)) {
    return true;
  }
  pool->EnsureOpening(
      session->WaitingRequest()->workspace,
      group->on_demand ? 1 : std::min<size_t>(2, WaitingCount(*group) + 1));
  return false;
}

bool Gateway::TryServeAtAnyTarget(const GroupName& name,
                                  Group* group,
                                  CallerSession* session,
                                  Position required) {
  if (group->borrows) {
    return TryServeAtLentTarget(name, group, session, required);
  }
  const absl::Time now = m_loop->Now();
  TargetPool* const primary = PrimaryPool(name);
  const TargetRequest& request = *session->WaitingRequest();
  std::vector<std::pair<double, TargetPool*>> candidates;
  for (const auto& [id, pool] : group->pools) {
    if (pool->Target().draining || !pool->MayHavePosition(required, now) ||
        (pool->Target().claims_primary && pool.get() != primary)) {
      continue;
    }
    double score = absl::ToDoubleMilliseconds(pool->Latency()) *
                   static_cast<double>(pool->Busy() + 1);
    if (pool->Target().data_centre != m_data_centre) {
      score += absl::ToDoubleMilliseconds(kRemoteLatencyPenalty);
    }
    if (pool.get() == primary) {
      score *= kPrimaryLoadFactor;
    }
    if (pool->OpeningFails() || id == request.avoided_target) {
      score += 1000;
    }
    candidates.emplace_back(score, pool.get());
  }
  std::sort(candidates.begin(), candidates.end());
  for (const auto& [score, pool] : candidates) {
    if (ServeOn(pool, session, required, pool == primary)) {
      return true;
    }
  }
  if (!candidates.empty()) {
    candidates.front().second->EnsureOpening(request.workspace, 1);
  }
  return false;
}

bool Gateway::TryServeAtLentTarget(const GroupName& name,
                                   Group* group,
                                   CallerSession* session,
                                   Position required) {
  const absl::Time now = m_loop->Now();
  TargetPool* const primary = PrimaryPool(name);
  const TargetRequest& request = *session->WaitingRequest();
  std::vector<TargetPool*> pools;
  std::vector<ReadCandidate> candidates;
  std::vector<TargetId> avoided = {request.avoided_target};
  std::optional<size_t> chosen;
  for (const auto& [id, pool] : group->pools) {
    if (pool->Target().draining ||
        (pool->Target().claims_primary && pool.get() != primary)) {
      continue;
    }
    ReadCandidate candidate;
    candidate.id = id;
    candidate.primary = pool.get() == primary;
    candidate.same_data_centre = pool->Target().data_centre == m_data_centre;
    candidate.can_start = pool->Busy() < kBorrowedConnections &&
                          pool->MayHavePosition(required, now);
    if (pool->OpeningFails()) {
      avoided.push_back(id);
    }
    // The choice holds until the connection that was opened for it is free.
    if (candidate.can_start && request.chosen_target == id &&
        request.chosen_attempt == request.attempts) {
      chosen = candidates.size();
    }
    candidates.push_back(std::move(candidate));
    pools.push_back(pool.get());
  }
  if (!chosen) {
    chosen = m_lent_reads.Choose(name, candidates, avoided);
    if (!chosen) {
      return false;
    }
    session->SetChosenTarget(candidates[*chosen].id);
  }
  TargetPool* const pool = pools[*chosen];
  if (ServeOn(pool, session, required, pool == primary)) {
    return true;
  }
  pool->EnsureOpening(request.workspace, 1);
  return false;
}

void Gateway::RefreshPositionHistory(const GroupName& name, Group* group) {
  TargetPool* const pool = PrimaryPool(name);
  const absl::Time sent = m_loop->Now();
  if (group->refresh_in_progress || pool == nullptr ||
      sent < group->last_refresh + kRefreshInterval) {
    return;
  }
  group->refresh_in_progress = true;
  group->last_refresh = sent;
  const TargetId id = pool->Target().id;
  pool->QueryStatus(
      kStatusTimeout, [this, name, id, sent, alive = m_alive](
                          const std::optional<TargetStatus>& status) {
        if (!*alive) {
          return;
        }
        Group& refreshed_group = m_groups[name];
        refreshed_group.refresh_in_progress = false;
        const auto found = refreshed_group.pools.find(id);
        if (status && status->primary && found != refreshed_group.pools.end()) {
          RecordPrimaryReply(found->second.get(), sent, status->received);
        }
        ScheduleDispatch(name);
      });
}

bool Gateway::AwaitLenderPosition(const GroupName& name, Group* group) {
  const absl::Time sent = m_loop->Now();
  if (!group->borrows || group->refresh_in_progress) {
    return group->borrows;
  }
  if (sent < group->last_refresh + kRefreshInterval) {
    return false;
  }
  group->refresh_in_progress = true;
  group->last_refresh = sent;
  m_borrowing->QueryPosition(
      name, kLenderPositionTimeout,
      [this, name, sent,
       alive = m_alive](const Result<LenderPosition>& answer) {
        if (!*alive) {
          return;
        }
        Group& asked = m_groups[name];
        asked.refresh_in_progress = false;
        if (Ok(answer) && ValueOf(answer).epoch > 0 &&
            ValueOf(answer).age >= absl::ZeroDuration() &&
            ValueOf(answer).epoch == m_leadership->View().Leader(name).epoch) {
          // The answer was made after the query was sent.
          asked.position_history.Add(sent - ValueOf(answer).age,
                                     ValueOf(answer).position);
        }
        ScheduleDispatch(name);
      });
  return true;
}

// --- Periodic tasks ----------------------------------------------------------

void Gateway::Tick() {
  m_tick_timer = m_loop->RunAfter(kTickPeriod, [this]() { Tick(); });
  UpdateLimits();
  for (auto& [name, group] : m_groups) {
    TickGroup(name, &group);
  }
  if (m_lender != nullptr) {
    m_lender->EndIdleLoans(IdleTransactionTimeout() + kIdleLoanMargin);
  }
  const absl::Time now = m_loop->Now();
  const bool lease_lost =
      !m_leadership->LeaseValid() && !m_leadership->LeaseReturnsSoon();
  for (CallerSession* session : std::set(m_sessions)) {
    const TargetRequest* const request = session->WaitingRequest();
    if (request != nullptr && lease_lost &&
        now >= request->arrival_time + kNoLeaseTimeout) {
      Dequeue(session);
      m_metrics->Count("refusals/no_lease");
      session->Refuse(ReplyCode::kBusy, "the instance has no valid lease");
      session->CloseIdle();
    } else if (request != nullptr && now >= request->queue_deadline) {
      Dequeue(session);
      m_metrics->Count("refusals/queue_deadline");
      session->Refuse(ReplyCode::kBusy, request->last_failure.empty()
                                            ? "no target was free in time"
                                            : request->last_failure);
    } else if (session->InTransaction()) {
      session->EndIdleTransaction(now - IdleTransactionTimeout());
    }
  }
  if (m_draining) {
    for (CallerSession* session : std::set(m_sessions)) {
      session->CloseIdleSince(now - kDrainIdleTimeout);
    }
  }
}

void Gateway::TickGroup(const GroupName& name, Group* group) {
  const absl::Time now = m_loop->Now();
  TargetPool* const primary = PrimaryPool(name);
  // A borrower cannot tell a silent primary from a silent lender.
  if (primary != nullptr && !group->borrows &&
      (primary->OpeningFails() ||
       now - primary->OldestUnansweredTime() > kPrimarySilenceTimeout) &&
      now - primary->LastContact() > kPrimarySilenceTimeout) {
    m_leadership->ReportUnresponsivePrimary(name);
  }
  for (auto& [id, pool] : group->pools) {
    pool->CloseIdle();
    // Keeps one connection open, so that the first statement does not wait and
    // a dead target is noticed.
    if (pool->OwnOpenCount() == 0 && !pool->Target().draining &&
        !group->on_demand && m_configuration.groups.contains(name)) {
      pool->EnsureOpening("", 1);
    }
  }
  CheckQuiesced(name, group);
  if (!group->waiting.empty()) {
    ScheduleDispatch(name);
  }
}

std::vector<GroupName> Gateway::Groups() const {
  std::vector<GroupName> names;
  for (const auto& [name, settings] : m_configuration.groups) {
    names.push_back(name);
  }
  return names;
}

std::vector<ListedTarget> Gateway::Targets(const GroupName& group) const {
  std::vector<ListedTarget> targets;
  const auto found = m_groups.find(group);
  if (found != m_groups.end()) {
    for (const auto& [id, pool] : found->second.pools) {
      targets.push_back(pool->Target());
    }
  }
  return targets;
}

absl::Time Gateway::LastContact(const GroupName& group,
                                const TargetId& target) const {
  const auto found = m_groups.find(group);
  if (found == m_groups.end()) {
    return absl::InfinitePast();
  }
  const auto pool = found->second.pools.find(target);
  return pool == found->second.pools.end() ? absl::InfinitePast()
                                           : pool->second->LastContact();
}

void Gateway::QueryStatus(
    const GroupName& group,
    const TargetId& target,
    absl::Duration timeout,
    std::function<void(std::optional<TargetStatus>)> done) {
  const auto pool = m_groups[group].pools.find(target);
  if (pool == m_groups[group].pools.end()) {
    m_loop->Post([done = std::move(done)]() { done(std::nullopt); });
    return;
  }
  pool->second->QueryStatus(timeout, std::move(done));
}

uint32_t Gateway::SyncReplicas(const GroupName& group) const {
  const auto found = m_configuration.groups.find(group);
  return found == m_configuration.groups.end() ? 0
                                               : found->second.sync_replicas;
}

void Gateway::Quiesce(const GroupName& group,
                      bool planned,
                      std::function<void()> done) {
  Group& state = m_groups[group];
  state.on_quiesced = std::move(done);
  state.quiesce_deadline =
      m_loop->Now() + (planned ? kPlannedQuiesceTimeout : absl::ZeroDuration());
  CheckQuiesced(group, &state);
}

void Gateway::CheckQuiesced(const GroupName& name, Group* group) {
  if (!group->on_quiesced) {
    return;
  }
  const bool deadline_passed = m_loop->Now() >= group->quiesce_deadline;
  bool in_use = false;
  for (CallerSession* session : std::set(m_sessions)) {
    if (!session->UsesPrimaryOf(name)) {
      continue;
    }
    if (deadline_passed) {
      session->StopUsingTarget("the primary is being replaced");
    } else {
      in_use = true;
    }
  }
  if (!in_use) {
    std::exchange(group->on_quiesced, nullptr)();
  }
}

void Gateway::OnLeaderChanged(const GroupName& group) {
  if (m_leadership->View().Leader(group).phase == LeaderPhase::kOpen) {
    // A promotion discards the commits that the new primary had not received.
    // Positions of the old log may therefore no longer exist at any target.
    m_groups[group].position_history.Clear();
    RefreshPositionHistory(group, &m_groups[group]);
  }
  ScheduleDispatch(group);
}

}  // namespace heatherwick
