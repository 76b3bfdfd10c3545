// Handles the events of one group and performs the resulting actions.

#include "Source/runtime/group_home.h"
#include "Source/base/steady_clock.h"

#include <algorithm>
#include <atomic>
#include <utility>

#include "Source/runtime/target_messages.h"
#include "absl/strings/str_cat.h"

namespace heatherwick {

namespace {

constexpr absl::Duration kConnectTimeout = absl::Seconds(1);
constexpr absl::Duration kStatusTimeout = absl::Milliseconds(500);
constexpr absl::Duration kFenceTimeout = absl::Milliseconds(500);
// A statement that still runs this long after its deadline, on a target that
// cannot be reached, is treated as stuck: its connection is closed.
constexpr absl::Duration kStuckStatementDelay = absl::Seconds(1);
// Attempts to run or resolve a request before its outcome is reported as
// unknown.
constexpr uint32_t kMaxAttempts = 4;
// A target's connection limit also covers the connections for control calls,
// and an old and a new home of the group may both hold connections for a while.
constexpr uint32_t kControlConnections = 2;
constexpr uint32_t kMaxConcurrentHomes = 2;

std::string NewHomeId(const MemberInfo& self) {
  static std::atomic<uint64_t> next{1};
  return absl::StrCat(self.id, "/", self.incarnation, "/", next++);
}

Error RefusalError(const RefuseRequest& refuse, const GroupName& group) {
  return {
      refuse.kind,
      absl::StrCat("group ", group, " refused the request: ", refuse.reason),
      refuse.kind == ErrorKind::kNoPrimary
          ? "try again once the group has a primary"
          : "try again later or with a longer deadline"};
}

absl::string_view OutcomeName(proto::Outcome outcome) {
  switch (outcome) {
    case proto::DONE:
      return "done";
    case proto::NOT_RUN:
      return "not_run";
    default:
      return "unknown";
  }
}

}  // namespace

class GroupHome::DeferredRunner {
 public:
  ~DeferredRunner() {
    for (const std::function<void()>& work : m_work) {
      work();
    }
  }

  Deferred* work() { return &m_work; }

 private:
  Deferred m_work;
};

Result<std::shared_ptr<GroupHome>> GroupHome::Create(const HomeContext* context,
                                                     const GroupName& group) {
  auto scheduler = GroupScheduler::Create(context->scheduler);
  if (!Ok(scheduler)) {
    return ErrorOf(scheduler);
  }
  return std::shared_ptr<GroupHome>(
      new GroupHome(context, group, std::move(ValueOf(scheduler))));
}

GroupHome::GroupHome(const HomeContext* context,
                     GroupName group,
                     std::unique_ptr<GroupScheduler> scheduler)
    : m_context(context),
      m_group(std::move(group)),
      m_home_id(NewHomeId(context->self)),
      m_scheduler(std::move(scheduler)),
      m_failover(FailoverOptions(), m_random),
      m_transactions(m_home_id),
      m_last_used(SteadyNow()) {}

void GroupHome::OnSheet(const SheetSnapshot& snapshot) {
  DeferredRunner runner;
  absl::MutexLock lock(&m_mutex);
  const auto row = snapshot.sheet->groups.find(m_group);
  if (snapshot.version <= m_sheet.version ||
      row == snapshot.sheet->groups.end()) {
    return;
  }
  const absl::Time now = SteadyNow();
  m_sheet = snapshot;
  m_targets.clear();
  GroupConfig config;
  config.own_data_centre = m_context->self.data_centre;
  for (const TargetId& id : row->second.targets) {
    const TargetRow& target = snapshot.sheet->targets.at(id);
    m_targets[id] = target;
    const uint32_t usable = target.connections > kControlConnections
                                ? target.connections - kControlConnections
                                : 0;
    config.targets.push_back({id, target.data_centre, target.slots,
                              std::max(usable / kMaxConcurrentHomes, 1U)});
  }
  for (const auto& [name, caller] : snapshot.sheet->callers) {
    config.shares[name] = caller.share;
  }
  m_failover.SetTargets(row->second.targets, now);
  std::vector<SchedulerAction> actions;
  m_scheduler->OnConfig(config, now, &actions);
  Apply(actions, runner.work());
}

void GroupHome::Execute(const proto::ExecuteRequest& request,
                        absl::Time deadline,
                        Done done) {
  DeferredRunner runner;
  absl::MutexLock lock(&m_mutex);
  const absl::Time now = SteadyNow();
  m_last_used = now;
  ActiveRequest active;
  active.request = request;
  active.deadline = deadline;
  active.started = now;
  active.done = std::move(done);
  const Result<SessionToken> token = SessionToken::Decode(request.token());
  if (!Ok(token)) {
    ReplyError(&active, proto::NOT_RUN, ErrorOf(token), runner.work());
    return;
  }
  active.token = ValueOf(token);
  if (m_closed || m_sheet.sheet == nullptr) {
    ReplyError(&active, proto::NOT_RUN,
               Error{ErrorKind::kNotHome,
                     absl::StrCat("this instance does not serve group ",
                                  m_group, " any more"),
                     "repeat the request"},
               runner.work());
    return;
  }
  const Result<RequestRules> rules = CheckRequest(*m_sheet.sheet, request);
  if (!Ok(rules)) {
    ReplyError(&active, proto::NOT_RUN, ErrorOf(rules), runner.work());
    return;
  }
  active.rules = ValueOf(rules);
  const Status transaction = AttachTransaction(&active, now);
  if (!Ok(transaction)) {
    ReplyError(&active, proto::NOT_RUN, ErrorOf(transaction), runner.work());
    return;
  }
  Enqueue(std::move(active), now, runner.work());
}

void GroupHome::Resolve(const proto::ResolveRequest& request,
                        absl::Time deadline,
                        Done done) {
  DeferredRunner runner;
  absl::MutexLock lock(&m_mutex);
  const absl::Time now = SteadyNow();
  m_last_used = now;
  ActiveRequest active;
  active.request.set_caller(request.caller());
  active.request.set_group(request.group());
  active.request.set_operation(proto::WRITE);
  active.request.set_request_key(request.request_key());
  active.resolve = true;
  active.may_have_run = true;
  active.deadline = deadline;
  active.started = now;
  active.done = std::move(done);
  const Result<SessionToken> token = SessionToken::Decode(request.token());
  if (!Ok(token)) {
    ReplyError(&active, proto::UNKNOWN, ErrorOf(token), runner.work());
    return;
  }
  active.token = ValueOf(token);
  if (request.request_key().empty()) {
    ReplyError(&active, proto::UNKNOWN,
               Error{ErrorKind::kInvalidArgument, "request_key is empty",
                     "set the key of the request whose outcome is unknown"},
               runner.work());
    return;
  }
  Enqueue(std::move(active), now, runner.work());
}

Status GroupHome::AttachTransaction(ActiveRequest* active, absl::Time now) {
  const proto::ExecuteRequest& request = active->request;
  if (request.operation() == proto::BEGIN) {
    active->transaction = m_transactions.Open(request.caller(), now);
    return std::monostate{};
  }
  if (request.transaction().empty()) {
    return std::monostate{};
  }
  const Result<TransactionId> claimed =
      m_transactions.Claim(request.transaction(), request.caller());
  if (!Ok(claimed)) {
    return ErrorOf(claimed);
  }
  if (!m_scheduler->HasTransaction(ValueOf(claimed))) {
    m_transactions.Close(ValueOf(claimed));
    return TransactionLostError("its connection was closed");
  }
  active->transaction = ValueOf(claimed);
  return std::monostate{};
}

void GroupHome::Enqueue(ActiveRequest active,
                        absl::Time now,
                        Deferred* deferred) {
  const proto::Operation operation = active.request.operation();
  ScheduledRequest scheduled;
  scheduled.id = ++m_last_request;
  scheduled.caller = active.request.caller();
  scheduled.request_class = active.transaction != 0
                                ? RequestClass::kWrite
                                : active.rules.request_class;
  scheduled.max_age = active.rules.max_age;
  scheduled.min_position = active.token.PositionOf(m_group);
  scheduled.shape = StatementShape(active.request.statement());
  scheduled.deadline = active.deadline;
  scheduled.transaction = active.transaction;
  scheduled.begins_transaction = operation == proto::BEGIN;
  scheduled.ends_transaction =
      operation == proto::COMMIT || operation == proto::ROLLBACK;
  active.phase = Phase::kQueued;
  ++active.attempts;
  m_active[scheduled.id] = std::move(active);
  std::vector<SchedulerAction> actions;
  m_scheduler->OnRequest(scheduled, now, &actions);
  Apply(actions, deferred);
}

void GroupHome::HandleUnknownOutcome(ActiveRequest active,
                                     ErrorKind kind,
                                     absl::string_view cause,
                                     absl::Time now,
                                     Deferred* deferred) {
  const proto::Operation operation = active.request.operation();
  const bool commits =
      operation == proto::COMMIT || operation == proto::WRITE || active.resolve;
  if (active.transaction != 0 && operation != proto::COMMIT) {
    // An uncommitted transaction has no effect.
    m_transactions.Close(active.transaction);
    ReplyError(&active, proto::NOT_RUN, TransactionLostError(cause), deferred);
    return;
  }
  if (operation == proto::COMMIT) {
    m_transactions.Close(active.transaction);
    active.transaction = 0;
  }
  const bool has_key = !active.request.request_key().empty();
  const bool can_recover = !commits || has_key;
  if (!can_recover || active.attempts >= kMaxAttempts ||
      now >= active.deadline || active.done == nullptr) {
    ReplyError(&active, proto::UNKNOWN,
               Error{kind, std::string(cause),
                     has_key ? "resolve the request's key"
                             : "read the data to see whether the request ran; "
                               "send a request_key to be able to resolve it"},
               deferred);
    return;
  }
  if (commits) {
    active.may_have_run = true;
    // A request that may not be repeated is never sent again. Its key is
    // resolved instead. The same holds for a COMMIT, because the statements of
    // its transaction are lost.
    active.resolve = active.resolve || operation == proto::COMMIT ||
                     !active.rules.repeatable;
    active.rules.request_class = RequestClass::kWrite;
  }
  Log("settle", active.resolve ? "resolve_key" : "send_again",
      {{"caller", active.request.caller()},
       {"key", active.request.request_key()},
       {"cause", std::string(cause)}});
  Enqueue(std::move(active), now, deferred);
}

void GroupHome::Apply(const std::vector<SchedulerAction>& actions,
                      Deferred* deferred) {
  const absl::Time now = SteadyNow();
  for (const SchedulerAction& action : actions) {
    if (const auto* start = std::get_if<StartStatement>(&action)) {
      Start(*start, now, deferred);
    } else if (const auto* refuse = std::get_if<RefuseRequest>(&action)) {
      Refuse(*refuse, deferred);
    } else if (const auto* open = std::get_if<OpenConnection>(&action)) {
      Open(*open, deferred);
    } else if (const auto* close = std::get_if<CloseConnection>(&action)) {
      CloseStream(*close, deferred);
    }
  }
}

void GroupHome::Apply(const std::vector<CommitAction>& actions,
                      absl::Time now,
                      Deferred* deferred) {
  for (const CommitAction& action : actions) {
    if (const auto* wait = std::get_if<WaitForPosition>(&action)) {
      WaitForConfirmation(*wait, deferred);
      continue;
    }
    const auto* confirmed = std::get_if<RequestConfirmed>(&action);
    const auto* unconfirmed = std::get_if<RequestUnconfirmed>(&action);
    const auto found = m_active.find(
        confirmed != nullptr ? confirmed->request : unconfirmed->request);
    if (found == m_active.end()) {
      continue;
    }
    ActiveRequest active = std::move(found->second);
    m_active.erase(found);
    if (confirmed != nullptr) {
      active.token.Advance(m_group, active.position);
      Reply(&active, deferred);
    } else {
      HandleUnknownOutcome(std::move(active), ErrorKind::kDeadlineExceeded,
                           "no majority of the group has confirmed the request",
                           now, deferred);
    }
  }
}

void GroupHome::Apply(const std::vector<FailoverAction>& actions,
                      absl::Time now,
                      Deferred* deferred) {
  for (const FailoverAction& action : actions) {
    if (const auto* read = std::get_if<ReadTargetStatus>(&action)) {
      ReadStatus(read->target, deferred);
    } else if (const auto* fence = std::get_if<FenceTarget>(&action)) {
      Fence(*fence, deferred);
    } else if (const auto* promote = std::get_if<PromoteTarget>(&action)) {
      Promote(*promote, deferred);
    } else if (const auto* primary = std::get_if<PrimaryKnown>(&action)) {
      AdoptPrimary(*primary, now, deferred);
    } else if (const auto* lost = std::get_if<PrimaryLost>(&action)) {
      Log("primary_lost", lost->reason,
          {{"home_cut_off", lost->home_cut_off ? "yes" : "no"}});
      m_can_serve = !lost->home_cut_off;
      m_primary.reset();
      std::vector<SchedulerAction> scheduled;
      m_scheduler->OnPrimary(std::nullopt, 0, now, &scheduled);
      Apply(scheduled, deferred);
    } else if (const auto* step = std::get_if<PromotionStep>(&action)) {
      Log(step->step, step->reason, {{"term", absl::StrCat(step->term)}});
    }
  }
}

void GroupHome::Start(const StartStatement& start,
                      absl::Time now,
                      Deferred* deferred) {
  const auto found = m_active.find(start.request);
  const auto connection = m_connections.find(start.connection);
  if (found == m_active.end() || connection == m_connections.end() ||
      connection->second.stream == nullptr) {
    return;
  }
  ActiveRequest& active = found->second;
  active.phase = Phase::kRunning;
  active.target = start.target;
  active.connection = start.connection;
  active.term = start.term;
  active.statement_started = now;
  if (start.term != 0) {
    m_primary_connections.insert(start.connection);
  }
  proto::StatementRequest statement =
      MakeStatement(active.request, active.rules, start.term,
                    active.token.PositionOf(m_group));
  statement.set_resolve(active.resolve);
  Log("route", start.reason,
      {{"request", absl::StrCat(start.request)},
       {"caller", active.request.caller()},
       {"operation", proto::Operation_Name(active.request.operation())},
       {"target", start.target},
       {"term", absl::StrCat(start.term)},
       {"waited_us",
        absl::StrCat(absl::ToInt64Microseconds(now - active.started))}});
  m_context->metrics->Observe("queue_wait", now - active.started);
  m_context->metrics->Count(start.term != 0 ? "statements/primary"
                                            : "statements/replica");
  const std::weak_ptr<GroupHome> weak = weak_from_this();
  deferred->push_back([weak, id = start.request,
                       stream = connection->second.stream,
                       statement = std::move(statement)] {
    stream->Execute(statement, [weak, id](Result<proto::StatementReply> reply) {
      if (const auto self = weak.lock()) {
        self->OnStatementReply(id, std::move(reply));
      }
    });
  });
}

void GroupHome::Refuse(const RefuseRequest& refuse, Deferred* deferred) {
  const auto found = m_active.find(refuse.request);
  if (found == m_active.end()) {
    return;
  }
  ActiveRequest active = std::move(found->second);
  m_active.erase(found);
  Log("refuse", refuse.reason,
      {{"request", absl::StrCat(refuse.request)},
       {"caller", active.request.caller()},
       {"operation", proto::Operation_Name(active.request.operation())}});
  if (active.request.operation() == proto::BEGIN ||
      (active.transaction != 0 &&
       !m_scheduler->HasTransaction(active.transaction))) {
    m_transactions.Close(active.transaction);
  } else if (active.transaction != 0) {
    m_transactions.Release(active.transaction, SteadyNow());
  }
  ReplyError(&active, active.may_have_run ? proto::UNKNOWN : proto::NOT_RUN,
             RefusalError(refuse, m_group), deferred);
}

void GroupHome::Open(const OpenConnection& open, Deferred* deferred) {
  m_connections[open.connection] = {open.target, nullptr, false};
  Log("open_connection", open.reason, {{"target", open.target}});
  const std::weak_ptr<GroupHome> weak = weak_from_this();
  deferred->push_back([weak, open, driver = m_context->driver,
                       address = AddressOf(open.target)] {
    driver->Connect(
        address, kConnectTimeout,
        [weak, open](Result<std::shared_ptr<TargetConnection>> result) {
          if (const auto self = weak.lock()) {
            self->OnOpened(open.target, open.connection, std::move(result));
          } else if (Ok(result)) {
            ValueOf(result)->Close();
          }
        },
        [weak, open] {
          if (const auto self = weak.lock()) {
            self->OnClosed(open.target, open.connection);
          }
        });
  });
}

void GroupHome::CloseStream(const CloseConnection& close, Deferred* deferred) {
  const auto found = m_connections.find(close.connection);
  if (found == m_connections.end()) {
    return;
  }
  Log("close_connection", close.reason, {{"target", close.target}});
  found->second.close_requested = true;
  if (found->second.stream != nullptr) {
    deferred->push_back([stream = found->second.stream] { stream->Close(); });
  }
}

void GroupHome::ReadStatus(const TargetId& target, Deferred* deferred) {
  const std::weak_ptr<GroupHome> weak = weak_from_this();
  deferred->push_back(
      [weak, target, driver = m_context->driver, address = AddressOf(target)] {
        driver->ReadStatus(address, kStatusTimeout,
                           [weak, target](Result<proto::StatusReply> reply) {
                             if (const auto self = weak.lock()) {
                               self->OnStatusReply(target, std::move(reply));
                             }
                           });
      });
}

void GroupHome::Fence(const FenceTarget& fence, Deferred* deferred) {
  proto::FenceRequest request;
  request.set_term(fence.term);
  request.set_decider(m_home_id);
  const std::weak_ptr<GroupHome> weak = weak_from_this();
  const auto replied = [weak, fence](Result<proto::FenceReply> result) {
    const auto self = weak.lock();
    if (self == nullptr || !Ok(result)) {
      return;
    }
    const proto::FenceReply& reply = ValueOf(result);
    DeferredRunner runner;
    absl::MutexLock lock(&self->m_mutex);
    const absl::Time now = SteadyNow();
    std::vector<FailoverAction> actions;
    self->m_failover.OnFenceReply(fence.target, fence.term, reply.granted(),
                                  reply.term(), FromProto(reply.last()), now,
                                  &actions);
    self->Apply(actions, now, runner.work());
  };
  deferred->push_back([request, replied, driver = m_context->driver,
                       address = AddressOf(fence.target)] {
    driver->Fence(address, request, kFenceTimeout, replied);
  });
}

void GroupHome::Promote(const PromoteTarget& promote, Deferred* deferred) {
  proto::PromoteRequest request;
  request.set_term(promote.term);
  request.set_decider(m_home_id);
  const std::weak_ptr<GroupHome> weak = weak_from_this();
  const auto replied = [weak, promote](Result<proto::PromoteReply> result) {
    const auto self = weak.lock();
    if (self == nullptr || !Ok(result)) {
      return;
    }
    const proto::PromoteReply& reply = ValueOf(result);
    DeferredRunner runner;
    absl::MutexLock lock(&self->m_mutex);
    const absl::Time now = SteadyNow();
    if (reply.promoted()) {
      self->m_promoted_position = FromProto(reply.last());
    }
    std::vector<FailoverAction> actions;
    self->m_failover.OnPromoteReply(promote.target, promote.term,
                                    reply.promoted(), reply.term(), now,
                                    &actions);
    self->Apply(actions, now, runner.work());
  };
  deferred->push_back([request, replied, driver = m_context->driver,
                       address = AddressOf(promote.target)] {
    driver->Promote(address, request, kFenceTimeout, replied);
  });
}

void GroupHome::WaitForConfirmation(const WaitForPosition& wait,
                                    Deferred* deferred) {
  proto::WaitPositionRequest request;
  ToProto(wait.position, request.mutable_position());
  request.set_timeout_ms(
      static_cast<uint32_t>(absl::ToInt64Milliseconds(wait.timeout)));
  const std::weak_ptr<GroupHome> weak = weak_from_this();
  const auto replied = [weak, wait](Result<proto::WaitPositionReply> result) {
    const auto self = weak.lock();
    if (self == nullptr) {
      return;
    }
    DeferredRunner runner;
    absl::MutexLock lock(&self->m_mutex);
    const absl::Time now = SteadyNow();
    std::vector<CommitAction> actions;
    if (Ok(result)) {
      const proto::WaitPositionReply& reply = ValueOf(result);
      self->m_scheduler->OnTargetPosition(wait.target, PositionKind::kReceived,
                                          FromProto(reply.last()), now);
      self->m_tracker.OnPositionReport(wait.target, wait.wait, reply.term(),
                                       FromProto(reply.last()), now, &actions);
    } else {
      self->m_tracker.OnPositionFailure(wait.target, wait.wait, now, &actions);
    }
    self->Apply(actions, now, runner.work());
  };
  deferred->push_back([request, replied, driver = m_context->driver,
                       address = AddressOf(wait.target)] {
    driver->WaitPosition(address, request, replied);
  });
}

void GroupHome::AdoptPrimary(const PrimaryKnown& primary,
                             absl::Time now,
                             Deferred* deferred) {
  Log("primary", primary.reason,
      {{"target", primary.target}, {"term", absl::StrCat(primary.term)}});
  m_context->metrics->Count("primary_changes");
  m_can_serve = true;
  m_primary = primary.target;
  m_term = primary.term;
  const proto::StatusReply& status = m_statuses[primary.target];
  m_term_position = status.primary() && status.term() == m_term
                        ? FromProto(status.last())
                        : m_promoted_position;
  // Statements that still run on a replaced primary cannot be confirmed.
  // Closing their connections ends them now, so that their outcome is resolved
  // without waiting for the deadline.
  for (const auto& [id, connection] : m_connections) {
    if (connection.target != primary.target && connection.stream != nullptr &&
        m_primary_connections.contains(id)) {
      deferred->push_back([stream = connection.stream] { stream->Close(); });
    }
  }
  m_primary_connections.clear();
  std::vector<SchedulerAction> scheduled;
  m_scheduler->OnPrimary(primary.target, primary.term, now, &scheduled);
  Apply(scheduled, deferred);
  std::vector<TargetId> group;
  for (const auto& [id, row] : m_targets) {
    group.push_back(id);
  }
  std::vector<CommitAction> commits;
  m_tracker.OnPrimary(primary.target, primary.term, group, now, &commits);
  Apply(commits, now, deferred);
}

void GroupHome::OnOpened(const TargetId& target,
                         ConnectionId connection,
                         Result<std::shared_ptr<TargetConnection>> result) {
  DeferredRunner runner;
  absl::MutexLock lock(&m_mutex);
  const absl::Time now = SteadyNow();
  std::vector<SchedulerAction> actions;
  const auto found = m_connections.find(connection);
  if (found == m_connections.end()) {
    return;
  }
  if (Ok(result) && !found->second.close_requested && !m_closed) {
    found->second.stream = ValueOf(result);
    m_scheduler->OnConnectionOpened(target, connection, now, &actions);
  } else {
    if (Ok(result)) {
      runner.work()->push_back([stream = ValueOf(result)] { stream->Close(); });
    } else {
      Log("connection_failed", ErrorKindName(ErrorOf(result).kind),
          {{"target", target}, {"cause", ErrorOf(result).message}});
    }
    m_connections.erase(found);
    m_scheduler->OnConnectionClosed(target, connection, now, &actions);
  }
  Apply(actions, runner.work());
}

void GroupHome::OnClosed(const TargetId& target, ConnectionId connection) {
  DeferredRunner runner;
  absl::MutexLock lock(&m_mutex);
  if (m_connections.erase(connection) == 0) {
    return;
  }
  m_primary_connections.erase(connection);
  if (m_closed) {
    return;  // Otherwise the scheduler would open another connection.
  }
  std::vector<SchedulerAction> actions;
  m_scheduler->OnConnectionClosed(target, connection, SteadyNow(), &actions);
  Apply(actions, runner.work());
}

void GroupHome::OnStatementReply(RequestId id,
                                 Result<proto::StatementReply> result) {
  DeferredRunner runner;
  absl::MutexLock lock(&m_mutex);
  const absl::Time now = SteadyNow();
  const auto found = m_active.find(id);
  if (found == m_active.end()) {
    return;
  }
  ActiveRequest& active = found->second;
  FinishedStatement finished;
  finished.request = id;
  finished.target = active.target;
  finished.connection = active.connection;
  finished.ran_for = now - active.statement_started;
  if (!Ok(result)) {
    m_connections.erase(active.connection);
    m_primary_connections.erase(active.connection);
    finished.end = StatementEnd::kLost;
    finished.connection_usable = false;
    ActiveRequest lost = std::move(active);
    m_active.erase(found);
    std::vector<SchedulerAction> actions;
    m_scheduler->OnFinished(finished, now, &actions);
    Apply(actions, runner.work());
    HandleUnknownOutcome(std::move(lost), ErrorKind::kUnavailable,
                         ErrorOf(result).message, now, runner.work());
    return;
  }
  const proto::StatementReply& reply = ValueOf(result);
  finished.ran_for = absl::Microseconds(reply.ran_us());
  finished.transaction_open = reply.in_transaction();
  const bool in_transaction =
      active.transaction != 0 && active.request.operation() != proto::BEGIN;
  if (reply.refusal() == proto::REFUSAL_NONE && active.term == 0) {
    m_scheduler->OnTargetPosition(active.target, PositionKind::kApplied,
                                  FromProto(reply.position()), now);
  }
  if (DeniesPrimaryRole(reply.refusal())) {
    std::vector<FailoverAction> failover_actions;
    m_failover.RefreshTargetStatus(now, &failover_actions);
    Apply(failover_actions, now, runner.work());
  }
  if (MayRequeue(reply.refusal()) && !in_transaction &&
      active.done != nullptr) {
    finished.end = StatementEnd::kRefused;
    finished.connection_usable = reply.refusal() != proto::NO_CONNECTION;
    active.phase = Phase::kQueued;
    Log("requeue", "target_refused",
        {{"request", absl::StrCat(id)},
         {"target", active.target},
         {"refusal", proto::Refusal_Name(reply.refusal())}});
    std::vector<SchedulerAction> actions;
    m_scheduler->OnFinished(finished, now, &actions);
    Apply(actions, runner.work());
    return;
  }
  ActiveRequest ran = std::move(active);
  m_active.erase(found);
  std::vector<SchedulerAction> actions;
  m_scheduler->OnFinished(finished, now, &actions);
  Apply(actions, runner.work());
  Finish(std::move(ran), reply, id, now, runner.work());
}

void GroupHome::Finish(ActiveRequest active,
                       const proto::StatementReply& reply,
                       RequestId id,
                       absl::Time now,
                       Deferred* deferred) {
  if (active.transaction != 0) {
    UpdateTransaction(active, reply, now);
  }
  const proto::Operation operation = active.request.operation();
  active.reply.set_served_by(active.target);
  active.reply.set_result(reply.result());
  switch (reply.refusal()) {
    case proto::REFUSAL_NONE:
    case proto::KEY_REFUSED:
      break;
    case proto::FAILED:
      ReplyError(&active, proto::DONE,
                 Error{ErrorKind::kStatementFailed, reply.message(),
                       "correct the statement"},
                 deferred);
      return;
    case proto::BAD_STATEMENT:
      ReplyError(&active, proto::NOT_RUN,
                 Error{ErrorKind::kInvalidArgument, reply.message(),
                       "correct the statement"},
                 deferred);
      return;
    default:
      ReplyError(&active, proto::NOT_RUN,
                 TransactionLostError(proto::Refusal_Name(reply.refusal())),
                 deferred);
      return;
  }
  if (reply.refusal() == proto::KEY_REFUSED) {
    active.reply.set_outcome(proto::NOT_RUN);
    active.reply.set_error_kind(
        std::string(ErrorKindName(ErrorKind::kKeyRefused)));
    active.reply.set_error_message(
        "the request's key was resolved as not run; use a new key to send the "
        "request again");
  } else {
    active.reply.set_outcome(proto::DONE);
  }
  if (operation == proto::BEGIN) {
    active.reply.set_transaction(m_transactions.HandleOf(active.transaction));
  }
  // The term tells the target's role when the statement started: a read that
  // was sent to the primary needs confirmation even if the group has lost its
  // primary since.
  const bool on_replica = active.term == 0;
  const bool read = operation == proto::READ;
  const bool inside_transaction =
      active.transaction != 0 && operation != proto::COMMIT;
  if (inside_transaction || (read && on_replica)) {
    active.reply.set_age_ms(reply.age_ms());
    // In a group of up to three targets, everything on a replica is on a
    // majority: on the replica itself and on the primary that sent it.
    if (read && !inside_transaction && m_targets.size() <= 3) {
      active.token.Advance(m_group, FromProto(reply.position()));
    }
    Reply(&active, deferred);
    return;
  }
  const bool is_write = operation == proto::WRITE;
  active.phase = Phase::kConfirming;
  active.position = PositionToConfirm(active, reply);
  const Position position = active.position;
  const absl::Time deadline = active.deadline;
  m_active[id] = std::move(active);
  std::vector<CommitAction> actions;
  m_tracker.OnExecuted(
      id, is_write ? ConfirmationKind::kWrite : ConfirmationKind::kRead,
      position, deadline, now, &actions);
  Apply(actions, now, deferred);
}

void GroupHome::UpdateTransaction(const ActiveRequest& active,
                                  const proto::StatementReply& reply,
                                  absl::Time now) {
  if (!reply.in_transaction()) {
    m_transactions.Close(active.transaction);
  } else if (active.done == nullptr) {
    // The caller has already received an error for this step and will not
    // continue the transaction.
    m_transactions.Abandon(active.transaction);
  } else {
    m_transactions.Release(active.transaction, now);
  }
}

Position GroupHome::PositionToConfirm(
    const ActiveRequest& active,
    const proto::StatementReply& reply) const {
  if (active.term != m_term) {
    return {};
  }
  const Position own_position = FromProto(reply.position());
  const bool recorded_earlier =
      reply.repeated() || reply.refusal() == proto::KEY_REFUSED;
  // The recorded entry stands in the primary's log before the empty entry that
  // begins this term, so a position in this term also confirms the recorded
  // entry.
  return recorded_earlier ? std::max(own_position, m_term_position)
                          : own_position;
}

void GroupHome::OnStatusReply(const TargetId& target,
                              Result<proto::StatusReply> result) {
  DeferredRunner runner;
  absl::MutexLock lock(&m_mutex);
  const absl::Time now = SteadyNow();
  TargetHealth health;
  std::vector<FailoverAction> actions;
  if (Ok(result)) {
    const proto::StatusReply& status = ValueOf(result);
    m_statuses[target] = status;
    health = HealthOf(status);
    if (status.primary() && status.term() == m_term) {
      m_term_position = std::max(m_term_position, FromProto(status.last()));
    }
    m_failover.OnStatus(target, StatusOf(status), now, &actions);
  } else {
    m_failover.OnStatusFailed(target, now, &actions);
  }
  m_reachable[target] = health.reachable;
  std::vector<SchedulerAction> scheduled;
  m_scheduler->OnTargetHealth(target, health, now, &scheduled);
  Apply(scheduled, runner.work());
  Apply(actions, now, runner.work());
}

void GroupHome::Tick() {
  DeferredRunner runner;
  absl::MutexLock lock(&m_mutex);
  if (m_closed || m_sheet.sheet == nullptr) {
    return;
  }
  const absl::Time now = SteadyNow();
  std::vector<FailoverAction> failover;
  m_failover.OnTick(now, &failover);
  Apply(failover, now, runner.work());
  std::vector<CommitAction> commits;
  m_tracker.OnTick(now, &commits);
  Apply(commits, now, runner.work());
  m_scheduler->OnCommitDelay(m_tracker.ExpectedDelay(now));
  std::vector<SchedulerAction> scheduled;
  m_scheduler->OnTick(now, &scheduled);
  Apply(scheduled, runner.work());
  ExpireRequests(now, runner.work());
  ExpireTransactions(now, runner.work());
}

void GroupHome::ExpireRequests(absl::Time now, Deferred* deferred) {
  for (auto& [id, active] : m_active) {
    if (active.phase != Phase::kRunning || now < active.deadline) {
      continue;
    }
    if (active.done != nullptr) {
      ReplyError(&active, proto::UNKNOWN,
                 Error{ErrorKind::kDeadlineExceeded,
                       absl::StrCat("target ", active.target,
                                    " did not answer by the deadline"),
                       "resolve the request's key or repeat the read"},
                 deferred);
    }
    const auto connection = m_connections.find(active.connection);
    if (now >= active.deadline + kStuckStatementDelay &&
        !m_reachable[active.target] && connection != m_connections.end() &&
        connection->second.stream != nullptr) {
      deferred->push_back(
          [stream = connection->second.stream] { stream->Close(); });
    }
  }
}

void GroupHome::ExpireTransactions(absl::Time now, Deferred* deferred) {
  const auto exists = [this](TransactionId transaction)
                          ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
                            return m_scheduler->HasTransaction(transaction);
                          };
  for (const TransactionId id : m_transactions.TakeIdle(now, exists)) {
    Log("abandon_transaction", "idle", {{"transaction", absl::StrCat(id)}});
    std::vector<SchedulerAction> actions;
    m_scheduler->AbandonTransaction(id, now, &actions);
    Apply(actions, deferred);
  }
}

void GroupHome::Reply(ActiveRequest* active, Deferred* deferred) {
  if (active->done == nullptr) {
    return;
  }
  active->token.sheet_version =
      std::max(active->token.sheet_version, m_sheet.version);
  active->reply.set_token(active->token.Encode());
  m_context->metrics->Count(
      absl::StrCat("requests/", OutcomeName(active->reply.outcome())));
  m_context->metrics->Observe("request_latency", SteadyNow() - active->started);
  deferred->push_back(
      [done = std::exchange(active->done, nullptr),
       reply = std::move(active->reply)]() mutable { done(std::move(reply)); });
}

void GroupHome::ReplyError(ActiveRequest* active,
                           proto::Outcome outcome,
                           const Error& error,
                           Deferred* deferred) {
  active->reply.set_outcome(outcome);
  active->reply.set_error_kind(std::string(ErrorKindName(error.kind)));
  active->reply.set_error_message(error.Describe());
  Reply(active, deferred);
}

bool GroupHome::CanServe() const {
  absl::MutexLock lock(&m_mutex);
  return m_can_serve && !m_closed;
}

size_t GroupHome::CountUnfinished() const {
  absl::MutexLock lock(&m_mutex);
  return m_active.size() + m_transactions.Size();
}

absl::Time GroupHome::LastUsed() const {
  absl::MutexLock lock(&m_mutex);
  return m_last_used;
}

void GroupHome::Describe(proto::GroupState* state) const {
  absl::MutexLock lock(&m_mutex);
  state->set_group(m_group);
  state->set_home(m_context->self.id);
  state->set_term(m_term);
  state->set_primary(m_primary.value_or(""));
  for (const auto& [target, status] : m_statuses) {
    *state->add_targets() = status;
  }
  const SchedulerStatistics statistics = m_scheduler->Statistics();
  state->set_queued(statistics.queued);
  state->set_running(statistics.running);
  state->set_open_transactions(statistics.open_transactions);
}

void GroupHome::Close() {
  DeferredRunner runner;
  absl::MutexLock lock(&m_mutex);
  m_closed = true;
  for (const auto& [id, connection] : m_connections) {
    if (connection.stream != nullptr) {
      runner.work()->push_back(
          [stream = connection.stream] { stream->Close(); });
    }
  }
}

void GroupHome::Log(
    absl::string_view decision,
    absl::string_view reason,
    std::vector<std::pair<absl::string_view, std::string>> fields) const {
  fields.emplace_back("group", m_group);
  m_context->decision_log->Write({decision, reason, std::move(fields)},
                                 SteadyNow());
}

std::string GroupHome::AddressOf(const TargetId& target) const {
  const auto found = m_targets.find(target);
  return found == m_targets.end() ? "" : found->second.address;
}

}  // namespace heatherwick
