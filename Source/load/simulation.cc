// Runs the events of an experiment in virtual time.

#include "Source/load/simulation.h"

#include <algorithm>
#include <utility>

namespace heatherwick {
namespace {

constexpr absl::Duration kTickPeriod = absl::Milliseconds(5);
// Pause of a caller between two statements of a transaction.
constexpr absl::Duration kThinkTime = absl::Milliseconds(3);
constexpr uint64_t kFirstTerm = 1;

}  // namespace

Simulation::Simulation(const Experiment& experiment,
                       const std::vector<PlannedRequest>& plan,
                       SimulationOptions options)
    : m_experiment(experiment),
      m_plan(plan),
      m_options(std::move(options)),
      m_events(absl::FromUnixSeconds(1000)),
      m_start(m_events.Now()),
      m_random(experiment.seed),
      m_controller(FailoverOptions{}, m_random) {}

size_t Simulation::IndexOf(const TargetId& target) const {
  for (size_t index = 0; index < m_targets.size(); ++index) {
    if (m_targets[index]->Id() == target) {
      return index;
    }
  }
  return 0;
}

void Simulation::SetUp() {
  auto created = GroupScheduler::Create(m_options.scheduler);
  m_scheduler = std::move(ValueOf(created));
  GroupConfig config;
  config.own_data_centre = m_experiment.home_data_centre;
  std::vector<TargetId> ids;
  for (const ExperimentTarget& target : m_experiment.targets) {
    ids.push_back(target.id);
    m_latencies.push_back(LatencyTo(m_experiment, target));
    m_targets.push_back(
        std::make_unique<FakeTarget>(target.id, m_experiment.slots, &m_events));
    config.targets.push_back({target.id, target.data_centre, m_experiment.slots,
                              m_experiment.connections});
  }
  m_connections.resize(m_targets.size());
  for (const ExperimentCaller& caller : m_experiment.callers) {
    config.shares[caller.name] = caller.share;
  }
  m_targets[0]->BecomePrimary(kFirstTerm);
  m_controller.SetTargets(ids, m_events.Now());
  m_scheduler->OnConfig(config, m_events.Now(), &m_scheduler_actions);
  ApplyScheduler();
}

SimulationResult Simulation::Run() {
  SetUp();
  for (size_t target = 0; target < m_targets.size(); ++target) {
    SchedulePull(target);
  }
  ScheduleTick();
  ScheduleArrivals(0);
  if (m_options.crash_primary_at.has_value()) {
    m_events.After(*m_options.crash_primary_at, [this]() { CrashPrimary(); });
  }
  m_events.RunUntil(m_start + m_options.length);
  SimulationResult result;
  result.records = std::move(m_records);
  for (const auto& target : m_targets) {
    result.max_concurrent_statements = std::max(
        result.max_concurrent_statements, target->MaxConcurrentStatements());
  }
  return result;
}

void Simulation::ScheduleArrivals(size_t index) {
  if (index >= m_plan.size()) {
    return;
  }
  m_events.At(m_start + m_plan[index].at, [this, index]() {
    Submit(m_plan[index], 0, 0);
    ScheduleArrivals(index + 1);
  });
}

absl::Duration Simulation::LagOf(size_t target) const {
  for (const LagFault& fault : m_options.lags) {
    if (fault.target == target && SinceStart() >= fault.from &&
        SinceStart() < fault.to) {
      return fault.lag;
    }
  }
  return m_experiment.remote_latency;
}

void Simulation::SchedulePull(size_t replica) {
  for (const auto& target : m_targets) {
    if (target->IsPrimary() && target.get() != m_targets[replica].get() &&
        !m_targets[replica]->IsPrimary()) {
      m_targets[replica]->Pull(*target, LagOf(replica));
    }
  }
  m_events.After(m_experiment.pull_period,
                 [this, replica]() { SchedulePull(replica); });
}

void Simulation::ScheduleTick() {
  const absl::Time now = m_events.Now();
  m_controller.OnTick(now, &m_failover_actions);
  ApplyFailover();
  m_tracker.OnTick(now, &m_commit_actions);
  ApplyCommits();
  m_scheduler->OnCommitDelay(m_tracker.ExpectedDelay(now));
  m_scheduler->OnTick(now, &m_scheduler_actions);
  ApplyScheduler();
  m_events.After(kTickPeriod, [this]() { ScheduleTick(); });
}

Position& Simulation::SessionOf(const PlannedRequest& planned) {
  return m_sessions[uint64_t{planned.caller} * kSessionsPerCaller +
                    planned.session];
}

void Simulation::Submit(const PlannedRequest& planned,
                        size_t statement,
                        TransactionId transaction) {
  const bool is_transaction = planned.statements.size() > 1;
  ActiveStatement active;
  active.planned = &planned;
  active.statement = statement;
  active.record = m_records.size();
  ScheduledRequest& request = active.request;
  request.id = ++m_last_request;
  request.caller = m_experiment.callers[planned.caller].name;
  request.request_class = planned.request_class;
  request.shape = planned.statements[statement].shape;
  request.min_position = SessionOf(planned);
  request.deadline = m_events.Now() + m_experiment.deadline;
  if (planned.request_class == RequestClass::kBoundedStalenessRead) {
    request.max_age = m_experiment.max_age;
  }
  if (is_transaction) {
    request.begins_transaction = statement == 0;
    request.ends_transaction = statement + 1 == planned.statements.size();
    request.transaction = statement == 0 ? ++m_last_transaction : transaction;
  }
  StatementRecord record;
  record.request_class = planned.request_class;
  record.caller = planned.caller;
  record.is_long = planned.is_long;
  record.arrived = SinceStart();
  m_records.push_back(record);
  m_active_statements[request.id] = active;
  m_scheduler->OnRequest(active.request, m_events.Now(), &m_scheduler_actions);
  ApplyScheduler();
}

void Simulation::ApplyScheduler() {
  while (!m_scheduler_actions.empty()) {
    const std::vector<SchedulerAction> actions = std::move(m_scheduler_actions);
    m_scheduler_actions.clear();
    for (const SchedulerAction& action : actions) {
      std::visit([this](const auto& typed) { Apply(typed); }, action);
    }
  }
}

void Simulation::ApplyFailover() {
  while (!m_failover_actions.empty()) {
    const std::vector<FailoverAction> actions = std::move(m_failover_actions);
    m_failover_actions.clear();
    for (const FailoverAction& action : actions) {
      std::visit([this](const auto& typed) { Apply(typed); }, action);
    }
  }
}

void Simulation::ApplyCommits() {
  while (!m_commit_actions.empty()) {
    const std::vector<CommitAction> actions = std::move(m_commit_actions);
    m_commit_actions.clear();
    for (const CommitAction& action : actions) {
      std::visit([this](const auto& typed) { Apply(typed); }, action);
    }
  }
}

void Simulation::Apply(const StartStatement& start) {
  ActiveStatement& active = m_active_statements.at(start.request);
  active.started = m_events.Now();
  active.connection = start.connection;
  active.target = IndexOf(start.target);
  active.running = true;
  StatementRecord& record = m_records[active.record];
  record.started = SinceStart();
  record.at_primary = m_primary == active.target;
  ++record.starts;
  FakeStatement statement;
  statement.request_class = active.request.request_class;
  statement.term = start.term;
  statement.max_age = active.request.max_age;
  statement.min_position = active.request.min_position;
  statement.service = active.planned->statements[active.statement].service;
  const size_t target = active.target;
  m_events.After(
      Latency(target), [this, target, statement, id = start.request]() {
        m_targets[target]->Execute(
            statement, [this, target, id](const FakeReply& reply) {
              m_events.After(Latency(target),
                             [this, id, reply]() { OnReply(id, reply); });
            });
      });
}

bool Simulation::PrimaryRunsAgedRead() const {
  return std::any_of(m_active_statements.begin(), m_active_statements.end(),
                     [this](const auto& row) {
                       const ActiveStatement& active = row.second;
                       return active.running && m_primary == active.target &&
                              active.request.request_class ==
                                  RequestClass::kBoundedStalenessRead;
                     });
}

void Simulation::Apply(const RefuseRequest& refusal) {
  const auto found = m_active_statements.find(refusal.request);
  if (found == m_active_statements.end()) {
    return;
  }
  const ActiveStatement active = found->second;
  if (active.request.request_class == RequestClass::kWrite &&
      PrimaryRunsAgedRead()) {
    m_records[active.record].refused_during_aged_read = true;
  }
  m_active_statements.erase(found);
  EndStatement(active, StatementOutcome::kRefused);
}

void Simulation::Apply(const OpenConnection& open) {
  const size_t target = IndexOf(open.target);
  m_connections[target].push_back(open.connection);
  m_events.After(
      m_experiment.connect_time + 2 * Latency(target), [this, target, open]() {
        std::vector<ConnectionId>& all = m_connections[target];
        if (std::find(all.begin(), all.end(), open.connection) == all.end()) {
          return;
        }
        if (m_targets[target]->HasCrashed()) {
          m_scheduler->OnConnectionClosed(open.target, open.connection,
                                          m_events.Now(), &m_scheduler_actions);
        } else {
          m_scheduler->OnConnectionOpened(open.target, open.connection,
                                          m_events.Now(), &m_scheduler_actions);
        }
        ApplyScheduler();
      });
}

void Simulation::Apply(const CloseConnection& close) {
  std::vector<ConnectionId>& all = m_connections[IndexOf(close.target)];
  all.erase(std::remove(all.begin(), all.end(), close.connection), all.end());
}

void Simulation::OnReply(RequestId id, const FakeReply& reply) {
  const auto found = m_active_statements.find(id);
  if (found == m_active_statements.end()) {
    return;  // The statement ended before, when its connection was reset.
  }
  ActiveStatement active = found->second;
  found->second.running = false;
  const absl::Time now = m_events.Now();
  FinishedStatement finished;
  finished.request = id;
  finished.target = m_targets[active.target]->Id();
  finished.connection = active.connection;
  finished.end = reply.end;
  finished.ran_for = now - active.started;
  finished.connection_usable = reply.end != StatementEnd::kLost;
  finished.transaction_open =
      active.request.transaction != 0 &&
      (reply.end == StatementEnd::kRefused ? !active.request.begins_transaction
                                           : !active.request.ends_transaction);
  m_records[active.record].occupancy = finished.ran_for;
  if (reply.end != StatementEnd::kRefused) {
    m_active_statements.erase(found);
  }
  m_scheduler->OnFinished(finished, now, &m_scheduler_actions);
  if (reply.end == StatementEnd::kLost) {
    EndStatement(active, StatementOutcome::kUnknown);
  } else if (reply.end == StatementEnd::kRan) {
    if (active.request.request_class == RequestClass::kBoundedStalenessRead) {
      EndStatement(active, StatementOutcome::kDone);
    } else {
      active.position = reply.position;
      m_unconfirmed[id] = active;
      m_tracker.OnExecuted(id,
                           active.request.request_class == RequestClass::kWrite
                               ? ConfirmationKind::kWrite
                               : ConfirmationKind::kRead,
                           reply.position, active.request.deadline, now,
                           &m_commit_actions);
      ApplyCommits();
    }
  }
  ApplyScheduler();
}

void Simulation::EndStatement(const ActiveStatement& active,
                              StatementOutcome outcome) {
  StatementRecord& record = m_records[active.record];
  const bool late = outcome == StatementOutcome::kDone &&
                    m_events.Now() > active.request.deadline;
  record.ended = SinceStart();
  record.outcome = late ? StatementOutcome::kLate : outcome;
  if (record.outcome != StatementOutcome::kDone) {
    const std::vector<PlannedStatement>& all = active.planned->statements;
    for (size_t index = active.statement; index < all.size(); ++index) {
      record.missed_slot_time +=
          all[index].service + 2 * m_experiment.remote_latency;
    }
  }
  ContinueTransaction(active, outcome == StatementOutcome::kDone);
}

void Simulation::ContinueTransaction(const ActiveStatement& active, bool open) {
  const TransactionId transaction = active.request.transaction;
  if (transaction == 0 || active.request.ends_transaction) {
    return;
  }
  if (open) {
    m_events.After(kThinkTime, [this, active, transaction]() {
      Submit(*active.planned, active.statement + 1, transaction);
    });
  } else if (m_scheduler->HasTransaction(transaction)) {
    m_scheduler->AbandonTransaction(transaction, m_events.Now(),
                                    &m_scheduler_actions);
  }
}

void Simulation::Apply(const ReadTargetStatus& read) {
  const size_t target = IndexOf(read.target);
  if (m_targets[target]->HasCrashed()) {
    m_events.After(FailoverOptions{}.status_timeout,
                   [this, target]() { OnStatusTimeout(target); });
    return;
  }
  m_events.After(Latency(target), [this, target]() {
    const TargetStatus status = m_targets[target]->Status();
    m_events.After(Latency(target), [this, target, status]() {
      if (!m_targets[target]->HasCrashed()) {
        OnStatus(target, status);
      }
    });
  });
}

void Simulation::OnStatus(size_t target, const TargetStatus& status) {
  TargetHealth health;
  health.reachable = true;
  health.age = status.age;
  health.applied = status.last;
  const absl::Time now = m_events.Now();
  const TargetId& id = m_targets[target]->Id();
  m_controller.OnStatus(id, status, now, &m_failover_actions);
  ApplyFailover();
  m_scheduler->OnTargetHealth(id, health, now, &m_scheduler_actions);
  ApplyScheduler();
}

void Simulation::OnStatusTimeout(size_t target) {
  const absl::Time now = m_events.Now();
  const TargetId& id = m_targets[target]->Id();
  m_controller.OnStatusFailed(id, now, &m_failover_actions);
  ApplyFailover();
  m_scheduler->OnTargetHealth(id, TargetHealth{}, now, &m_scheduler_actions);
  ApplyScheduler();
}

void Simulation::Apply(const FenceTarget& fence) {
  const size_t target = IndexOf(fence.target);
  m_events.After(Latency(target), [this, target, fence]() {
    if (m_targets[target]->HasCrashed()) {
      return;
    }
    const bool granted = m_targets[target]->Fence(fence.term);
    const uint64_t term = m_targets[target]->Term();
    const Position last = m_targets[target]->LastPosition();
    m_events.After(Latency(target), [=, this]() {
      m_controller.OnFenceReply(fence.target, fence.term, granted, term, last,
                                m_events.Now(), &m_failover_actions);
      ApplyFailover();
    });
  });
}

void Simulation::Apply(const PromoteTarget& promote) {
  const size_t target = IndexOf(promote.target);
  m_events.After(Latency(target), [this, target, promote]() {
    if (m_targets[target]->HasCrashed()) {
      return;
    }
    const bool promoted = m_targets[target]->Promote(promote.term);
    const uint64_t term = m_targets[target]->Term();
    m_events.After(Latency(target), [=, this]() {
      m_controller.OnPromoteReply(promote.target, promote.term, promoted, term,
                                  m_events.Now(), &m_failover_actions);
      ApplyFailover();
    });
  });
}

void Simulation::Apply(const PrimaryKnown& known) {
  m_primary = IndexOf(known.target);
  std::vector<TargetId> ids;
  for (const auto& target : m_targets) {
    ids.push_back(target->Id());
  }
  const absl::Time now = m_events.Now();
  m_tracker.OnPrimary(known.target, known.term, ids, now, &m_commit_actions);
  ApplyCommits();
  m_scheduler->OnPrimary(known.target, known.term, now, &m_scheduler_actions);
  ApplyScheduler();
}

void Simulation::Apply(const PrimaryLost& /*lost*/) {
  m_primary.reset();
  m_scheduler->OnPrimary(std::nullopt, 0, m_events.Now(), &m_scheduler_actions);
  ApplyScheduler();
}

void Simulation::Apply(const PromotionStep& /*step*/) {}

void Simulation::Apply(const WaitForPosition& wait) {
  const size_t target = IndexOf(wait.target);
  m_events.After(Latency(target), [this, target, wait]() {
    m_targets[target]->WaitPosition(
        wait.position, wait.timeout,
        [this, target, wait](uint64_t term, Position last) {
          m_events.After(Latency(target), [=, this]() {
            m_tracker.OnPositionReport(wait.target, wait.wait, term, last,
                                       m_events.Now(), &m_commit_actions);
            ApplyCommits();
          });
        });
  });
}

void Simulation::Apply(const RequestConfirmed& confirmed) {
  const auto found = m_unconfirmed.find(confirmed.request);
  if (found != m_unconfirmed.end()) {
    const ActiveStatement active = found->second;
    m_unconfirmed.erase(found);
    Position& session = SessionOf(*active.planned);
    session = std::max(session, active.position);
    EndStatement(active, StatementOutcome::kDone);
  }
}

void Simulation::Apply(const RequestUnconfirmed& unconfirmed) {
  const auto found = m_unconfirmed.find(unconfirmed.request);
  if (found != m_unconfirmed.end()) {
    const ActiveStatement active = found->second;
    m_unconfirmed.erase(found);
    EndStatement(active, StatementOutcome::kUnknown);
  }
}

void Simulation::CrashPrimary() {
  if (!m_primary.has_value()) {
    return;
  }
  const size_t target = *m_primary;
  m_targets[target]->Crash();
  // The home learns of the crash when its connections to the target are reset.
  m_events.After(Latency(target), [this, target]() {
    std::vector<ActiveStatement> lost_statements;
    for (const auto& [id, active] : m_active_statements) {
      if (active.running && active.target == target) {
        lost_statements.push_back(active);
      }
    }
    for (const ActiveStatement& active : lost_statements) {
      m_active_statements.erase(active.request.id);
      EndStatement(active, StatementOutcome::kUnknown);
    }
    const std::vector<ConnectionId> connections =
        std::move(m_connections[target]);
    m_connections[target].clear();
    for (const ConnectionId connection : connections) {
      m_scheduler->OnConnectionClosed(m_targets[target]->Id(), connection,
                                      m_events.Now(), &m_scheduler_actions);
    }
    ApplyScheduler();
  });
}

}  // namespace heatherwick
