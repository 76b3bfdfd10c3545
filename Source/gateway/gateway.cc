// Dispatch of waiting statements, evidence for reads, and the upkeep of
// connections.

#include "Source/gateway/gateway.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "glog/logging.h"

namespace heatherwick {
namespace {

constexpr absl::Duration kTickPeriod = absl::Milliseconds(50);
// A read's evidence is taken this much younger than its allowed age, for the
// way of the read to the target and the caller's clock.
constexpr absl::Duration kAgeMargin = absl::Milliseconds(150);
// Evidence is renewed when less than this remains of the allowed age.
constexpr absl::Duration kRefreshAhead = absl::Milliseconds(500);
// Between two status queries for evidence, also when they fail.
constexpr absl::Duration kRefreshPause = absl::Milliseconds(100);
constexpr absl::Duration kStatusTimeout = absl::Milliseconds(400);
// A primary that leaves something unanswered for this long is reported.
constexpr absl::Duration kSilentAfter = absl::Milliseconds(450);
// An instance without a lease refuses what needs the primary after this, and
// closes the session, so that the caller finds another instance.
constexpr absl::Duration kIsolatedPatience = absl::Milliseconds(60);
// A planned change waits this long for open transactions.
constexpr absl::Duration kPlannedQuiesce = absl::Milliseconds(800);
// Even shares use half of the limit: when every machine loses power, targets
// keep its connections for 3 s, and the restarted instances need the rest.
constexpr size_t kShareDivisor = 2;
// Connections beyond the share for a burst, given back when idle.
constexpr size_t kBurstConnections = 1;
// Of an instance to one target, where the limit is below one for each.
constexpr size_t kOnDemandConnections = 2;
// Expected extra latency of a target in another data centre.
constexpr absl::Duration kRemotePenalty = absl::Milliseconds(4);
// Reads prefer replicas: the primary counts as this much busier.
constexpr double kPrimaryWeight = 1.5;
// Bounds the memory for names when callers prepare ever new shapes.
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
      m_decisions(decisions) {}

Gateway::~Gateway() {
  *m_alive = false;
}

void Gateway::SetLeadership(LeadershipManager* leadership) {
  m_leadership = leadership;
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
  m_configuration = std::move(configuration);
  for (const auto& [name, settings] : m_configuration.groups) {
    m_groups[name];
  }
  UpdateLimits();
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
        if (session->Uses(pool.get())) {
          session->AbandonTarget("the target restarted");
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
        if (session->Uses(pool->second.get())) {
          session->AbandonTarget("the target is no longer listed");
        }
      }
      pool = group.pools.erase(pool);
    }
    PostDispatch(name);
  }
  UpdateLimits();
}

bool Gateway::Ready() const {
  return Configured() && !m_stopping && m_leadership->LeaseValid();
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
    // With too few connections for one each, all share them by opening one
    // for a statement and closing it soon after.
    group.on_demand = limit < members;
    for (auto& [id, pool] : group.pools) {
      if (group.on_demand) {
        pool->SetLimits(0, kOnDemandConnections);
      } else {
        pool->SetLimits(std::max<size_t>(1, share),
                        std::max<size_t>(1, share) + kBurstConnections);
      }
    }
  }
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
  m_draining = true;
}

void Gateway::EndTransactions(const std::string& cause) {
  for (CallerSession* session : std::set(m_sessions)) {
    if (session->InTransaction()) {
      session->AbandonTarget(cause);
    }
  }
}

void Gateway::Enqueue(CallerSession* session) {
  const TargetRequest& request = *session->Waiting();
  std::list<CallerSession*>& waiting = m_groups[request.route.group].waiting;
  auto place = waiting.end();
  while (place != waiting.begin()) {
    const TargetRequest* before = (*std::prev(place))->Waiting();
    if (before == nullptr || before->route.priority < request.route.priority ||
        (before->route.priority == request.route.priority &&
         before->arrived <= request.arrived)) {
      break;
    }
    --place;
  }
  waiting.insert(place, session);
  PostDispatch(request.route.group);
}

void Gateway::Dequeue(CallerSession* session) {
  for (auto& [name, group] : m_groups) {
    group.waiting.remove(session);
  }
}

bool Gateway::MayAcknowledge(const TargetPool* pool) const {
  return m_leadership->MayAcknowledge(pool->Target().group, pool->Target().id);
}

void Gateway::NoteNotPrimary(const TargetPool* pool) {
  m_leadership->ReportNotPrimary(pool->Target().group);
}

void Gateway::NotePrimaryAnswer(const TargetPool* pool,
                                absl::Time sent,
                                Position position) {
  if (!MayAcknowledge(pool)) {
    return;
  }
  m_groups[pool->Target().group].evidence.Add(sent, position);
}

std::string Gateway::TargetPreparedName(StatementKind kind,
                                        const std::string& shape) {
  const std::string key = absl::StrCat(StatementKindName(kind), "/", shape);
  const auto found = m_prepared_names.find(key);
  if (found != m_prepared_names.end()) {
    return found->second;
  }
  if (m_prepared_names.size() >= kMaxPreparedNames) {
    // Names that are still in use stay valid: numbers are never reused.
    m_prepared_names.clear();
  }
  static uint64_t number = 0;
  return m_prepared_names[key] = absl::StrCat("p", ++number);
}

// --- Dispatch ----------------------------------------------------------------

void Gateway::OnCapacity(TargetPool* pool) {
  PostDispatch(pool->Target().group);
}

void Gateway::PostDispatch(const GroupName& name) {
  Group& group = m_groups[name];
  if (group.dispatch_posted) {
    return;
  }
  group.dispatch_posted = true;
  m_loop->Post([this, name, alive = m_alive]() {
    if (*alive) {
      m_groups[name].dispatch_posted = false;
      Dispatch(name);
    }
  });
}

void Gateway::ServeWaiting(const GroupName& name, Group* group, bool overdue) {
  const absl::Time now = m_loop->Now();
  for (auto place = group->waiting.begin(); place != group->waiting.end();) {
    CallerSession* const session = *place;
    const auto next = std::next(place);
    const TargetRequest* const request = session->Waiting();
    if (request == nullptr ||
        ((now > request->arrived + request->route.latency_objective) ==
             overdue &&
         TryServe(name, group, session))) {
      group->waiting.erase(place);
    }
    place = next;
  }
}

void Gateway::Dispatch(const GroupName& name) {
  Group& group = m_groups[name];
  // In a backlog, statements that can still meet their latency objective go
  // before those that cannot.
  ServeWaiting(name, &group, false);
  ServeWaiting(name, &group, true);
  CheckQuiesced(name, &group);
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
  const TargetRequest& request = *session->Waiting();
  const bool any_target = !request.writes && !request.plain_transaction &&
                          request.route.consistency != Consistency::kCurrent;
  if (!any_target) {
    return TryServeAtPrimary(name, group, session);
  }
  const absl::Time now = m_loop->Now();
  const absl::Duration age =
      std::max(request.route.allowed_age - kAgeMargin, absl::ZeroDuration());
  const std::optional<Position> known =
      group->evidence.Covering(request.arrived - age);
  // A status query would need a connection of its own; there, a read at the
  // primary brings the evidence.
  if (!group->on_demand &&
      now - group->evidence.NewestSent() > age - kRefreshAhead) {
    RefreshEvidence(name, group);
  }
  if (!known) {
    return TryServeAtPrimary(name, group, session);
  }
  Position required = *known;
  if (request.route.consistency == Consistency::kReadYourWrites) {
    required = std::max(required, session->OwnPosition());
  }
  return TryServeAnywhere(name, group, session, required);
}

bool Gateway::ServeOn(TargetPool* pool,
                      CallerSession* session,
                      std::optional<Position> required,
                      bool at_primary) {
  TargetConnection* const connection = pool->Acquire(session->Values());
  if (connection == nullptr) {
    return false;
  }
  session->Run(connection, required, at_primary);
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
      group->on_demand ? 1 : std::min<size_t>(2, WaitingCount(*group) + 1));
  return false;
}

bool Gateway::TryServeAnywhere(const GroupName& name,
                               Group* group,
                               CallerSession* session,
                               Position required) {
  const absl::Time now = m_loop->Now();
  TargetPool* const primary = PrimaryPool(name);
  const TargetRequest& request = *session->Waiting();
  std::vector<std::pair<double, TargetPool*>> ranked;
  for (const auto& [id, pool] : group->pools) {
    if (pool->Target().draining || !pool->MayHold(required, now) ||
        (pool->Target().claims_primary && pool.get() != primary)) {
      continue;
    }
    double score = absl::ToDoubleMilliseconds(pool->Latency()) *
                   static_cast<double>(pool->Busy() + 1);
    if (pool->Target().data_centre != m_data_centre) {
      score += absl::ToDoubleMilliseconds(kRemotePenalty);
    }
    if (pool.get() == primary) {
      score *= kPrimaryWeight;
    }
    if (pool->Failing() || id == request.avoided) {
      score += 1000;
    }
    ranked.emplace_back(score, pool.get());
  }
  std::sort(ranked.begin(), ranked.end());
  for (const auto& [score, pool] : ranked) {
    if (ServeOn(pool, session, required, pool == primary)) {
      return true;
    }
  }
  if (!ranked.empty()) {
    ranked.front().second->EnsureOpening(1);
  }
  return false;
}

void Gateway::RefreshEvidence(const GroupName& name, Group* group) {
  TargetPool* const pool = PrimaryPool(name);
  const absl::Time sent = m_loop->Now();
  if (group->refreshing || pool == nullptr ||
      sent < group->refreshed + kRefreshPause) {
    return;
  }
  group->refreshing = true;
  group->refreshed = sent;
  const TargetId id = pool->Target().id;
  pool->QueryStatus(
      kStatusTimeout, [this, name, id, sent, alive = m_alive](
                          const std::optional<TargetStatus>& status) {
        if (!*alive) {
          return;
        }
        Group& refreshed = m_groups[name];
        refreshed.refreshing = false;
        const auto found = refreshed.pools.find(id);
        if (status && status->primary && found != refreshed.pools.end()) {
          NotePrimaryAnswer(found->second.get(), sent, status->received);
        }
        PostDispatch(name);
      });
}

// --- Upkeep ------------------------------------------------------------------

void Gateway::Tick() {
  m_tick_timer = m_loop->RunAfter(kTickPeriod, [this]() { Tick(); });
  UpdateLimits();
  for (auto& [name, group] : m_groups) {
    TickGroup(name, &group);
  }
  const absl::Time now = m_loop->Now();
  const bool isolated = !m_leadership->LeaseValid();
  for (CallerSession* session : std::set(m_sessions)) {
    const TargetRequest* const request = session->Waiting();
    if (request != nullptr && isolated &&
        now >= request->arrived + kIsolatedPatience) {
      Dequeue(session);
      session->Refuse(ReplyCode::kBusy, "the instance is cut off");
      session->CloseIdle();
    } else if (request != nullptr && now >= request->give_up) {
      Dequeue(session);
      session->Refuse(ReplyCode::kBusy, request->last_refusal.empty()
                                            ? "no target was free in time"
                                            : request->last_refusal);
    } else if (session->InTransaction()) {
      session->EndIdleTransaction(now - IdleTransactionTimeout());
    }
  }
  if (m_draining) {
    for (CallerSession* session : std::set(m_sessions)) {
      if (session->Idle()) {
        session->CloseIdle();
      }
    }
  }
}

void Gateway::TickGroup(const GroupName& name, Group* group) {
  const absl::Time now = m_loop->Now();
  TargetPool* const primary = PrimaryPool(name);
  if (primary != nullptr &&
      (primary->Failing() || now - primary->WaitingSince() > kSilentAfter) &&
      now - primary->LastContact() > kSilentAfter) {
    m_leadership->ReportSilent(name);
  }
  for (auto& [id, pool] : group->pools) {
    pool->CloseIdle();
    // Keeps one connection open, so that the first statement need not wait,
    // and notices a dead target.
    if (pool->OpenCount() == 0 && !pool->Target().draining &&
        !group->on_demand) {
      pool->EnsureOpening(1);
    }
  }
  CheckQuiesced(name, group);
  if (!group->waiting.empty()) {
    PostDispatch(name);
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

void Gateway::Quiesce(const GroupName& group,
                      bool planned,
                      std::function<void()> done) {
  Group& state = m_groups[group];
  state.on_quiesced = std::move(done);
  state.quiesce_limit =
      m_loop->Now() + (planned ? kPlannedQuiesce : absl::ZeroDuration());
  CheckQuiesced(group, &state);
}

void Gateway::CheckQuiesced(const GroupName& name, Group* group) {
  if (!group->on_quiesced) {
    return;
  }
  const bool over = m_loop->Now() >= group->quiesce_limit;
  bool in_use = false;
  for (CallerSession* session : std::set(m_sessions)) {
    if (!session->UsesPrimaryOf(name)) {
      continue;
    }
    if (over) {
      session->AbandonTarget("the primary is being replaced");
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
    // A promotion discards what the new primary had not received; positions
    // of the old log may exist nowhere.
    m_groups[group].evidence.Clear();
    RefreshEvidence(group, &m_groups[group]);
  }
  PostDispatch(group);
}

}  // namespace heatherwick
