// Admission, dispatch, requeueing, transactions and connections of a group.

#include "Source/decision/policy_group_scheduler.h"

#include <algorithm>

#include "Source/kernel/registry.h"

namespace heatherwick {
namespace {

// A read is on its way for about this long; the target checks the age when
// it arrives.
constexpr absl::Duration kAgeMargin = absl::Milliseconds(5);
// Covers the time that a pull and a status report take to arrive.
constexpr absl::Duration kPositionMargin = absl::Milliseconds(5);
// A replica of at most this age applies what it receives without delay; an
// idle one reaches it between two pulls.
constexpr absl::Duration kPromptAge = absl::Milliseconds(100);

// Connections left to callers without a transaction, at most.
constexpr size_t kPinsLeft = 2;
// Section 7 of docs/design.md.
constexpr absl::Duration kIdleTransactionLimit = absl::Seconds(30);
// After a promotion the queue has to drain before its rate says anything.
constexpr absl::Duration kSteadyAfter = absl::Seconds(1);

}  // namespace

Result<std::unique_ptr<GroupScheduler>> GroupScheduler::Create(
    const SchedulerOptions& options) {
  auto queue = Registry<QueuePolicy>::Create(options.queue_policy);
  auto read = Registry<ReadPolicy>::Create(options.read_policy);
  auto connection =
      Registry<ConnectionPolicy>::Create(options.connection_policy);
  auto admission = Registry<AdmissionPolicy>::Create(options.admission_policy);
  if (!Ok(queue)) {
    return ErrorOf(queue);
  }
  if (!Ok(read)) {
    return ErrorOf(read);
  }
  if (!Ok(connection)) {
    return ErrorOf(connection);
  }
  if (!Ok(admission)) {
    return ErrorOf(admission);
  }
  SchedulerPolicies policies;
  policies.queue = std::move(ValueOf(queue));
  policies.read = std::move(ValueOf(read));
  policies.connection = std::move(ValueOf(connection));
  policies.admission = std::move(ValueOf(admission));
  return std::unique_ptr<GroupScheduler>(std::make_unique<PolicyGroupScheduler>(
      std::move(policies), options.max_queued));
}

PolicyGroupScheduler::PolicyGroupScheduler(SchedulerPolicies policies,
                                           uint32_t max_queued)
    : m_policies(std::move(policies)), m_max_queued(max_queued) {}

TargetState* PolicyGroupScheduler::FindTarget(const TargetId& id) const {
  for (const std::unique_ptr<TargetState>& target : m_targets) {
    if (target->Id() == id) {
      return target.get();
    }
  }
  return nullptr;
}

TargetState* PolicyGroupScheduler::Primary() const {
  return m_primary.has_value() ? FindTarget(*m_primary) : nullptr;
}

uint64_t PolicyGroupScheduler::TermFor(const TargetState& target) const {
  return m_primary == target.Id() ? m_term : 0;
}

void PolicyGroupScheduler::OnRules(const GroupRules& rules,
                                   absl::Time now,
                                   Actions* actions) {
  m_rules = rules;
  m_policies.queue->OnShares(rules.shares);
  std::vector<TargetId> kept;
  for (const TargetRules& target_rules : rules.targets) {
    const bool local = target_rules.data_centre == rules.own_data_centre;
    kept.push_back(target_rules.id);
    if (TargetState* target = FindTarget(target_rules.id); target != nullptr) {
      target->SetRules(target_rules, local);
    } else {
      m_targets.push_back(std::make_unique<TargetState>(target_rules, local));
    }
  }
  for (const std::unique_ptr<TargetState>& target : m_targets) {
    if (std::find(kept.begin(), kept.end(), target->Id()) == kept.end()) {
      target->Remove(now);
    }
  }
  Dispatch(now, actions);
}

void PolicyGroupScheduler::OnPrimary(const std::optional<TargetId>& primary,
                                     uint64_t term,
                                     absl::Time now,
                                     Actions* actions) {
  if (m_primary != primary) {
    m_primary_since = now;
  }
  m_primary = primary;
  if (primary.has_value()) {
    m_term = term;
    // A transaction does not survive its primary's term.
    DropTransactionsIf(
        [&](const Transaction& transaction) {
          return transaction.term != term ||
                 transaction.target->Id() != *primary;
        },
        "primary_changed", actions);
    if (TargetState* target = Primary(); target != nullptr) {
      target->EndPause();
    }
  }
  Dispatch(now, actions);
}

void PolicyGroupScheduler::OnTargetHealth(const TargetId& id,
                                          const TargetHealth& health,
                                          absl::Time now,
                                          Actions* actions) {
  TargetState* target = FindTarget(id);
  if (target == nullptr) {
    return;
  }
  target->OnHealth(health, now);
  m_positions.OnSeen(health.applied, now);
  Dispatch(now, actions);
}

void PolicyGroupScheduler::OnTargetPosition(const TargetId& id,
                                            PositionKind kind,
                                            Position last,
                                            absl::Time now) {
  TargetState* target = FindTarget(id);
  if (target != nullptr) {
    target->OnPosition(kind, last);
    m_positions.OnSeen(last, now);
  }
}

void PolicyGroupScheduler::OnCommitDelay(absl::Duration delay) {
  m_commit_delay = delay;
}

void PolicyGroupScheduler::OnRequest(const ScheduledRequest& request,
                                     absl::Time now,
                                     Actions* actions) {
  m_budget.OnRequest();
  m_positions.OnSeen(request.min_position, now);
  std::unique_ptr<PendingRequest> pending = MakePending(request, now);
  if (pending->IsStep()) {
    AdmitStep(std::move(pending), now, actions);
  } else {
    Admit(std::move(pending), now, actions);
  }
  Dispatch(now, actions);
}

std::unique_ptr<PendingRequest> PolicyGroupScheduler::MakePending(
    const ScheduledRequest& request,
    absl::Time now) {
  auto pending = std::make_unique<PendingRequest>();
  pending->request = request;
  if (request.transaction != 0) {
    pending->request.request_class = RequestClass::kWrite;
  }
  pending->sequence = m_next_sequence++;
  pending->arrived = now;
  pending->estimate = m_durations.Estimate(request.shape);
  pending->is_long = m_durations.IsLong(pending->estimate.mean);
  pending->may_be_long =
      pending->is_long || m_durations.IsUnknown(request.shape);
  const bool writes = pending->request.request_class == RequestClass::kWrite;
  pending->latest_start = m_policies.admission->LatestStart(
      pending->request, pending->estimate,
      writes ? m_commit_delay : absl::ZeroDuration());
  return pending;
}

AdmissionLoad PolicyGroupScheduler::LoadFor(const PendingRequest& pending,
                                            absl::Time now) const {
  AdmissionLoad load;
  load.ahead = m_policies.queue->AheadOf(pending, now);
  load.served_steadily = pending.GetLane() == Lane::kPrimary &&
                         m_primary.has_value() &&
                         now >= m_primary_since + kSteadyAfter;
  load.slots = SlotsFor(pending, now);
  load.queued = m_expiry.size();
  load.max_queued = m_max_queued;
  return load;
}

uint32_t PolicyGroupScheduler::SlotsFor(const PendingRequest& pending,
                                        absl::Time now) const {
  const TargetState* primary = Primary();
  uint32_t replicas = 0;
  uint32_t largest = 0;
  for (const std::unique_ptr<TargetState>& target : m_targets) {
    largest = std::max(largest, target->Rules().slots);
    if (target.get() != primary && target->AcceptsNewWork(now) &&
        target->AgeAt(now) <= pending.request.max_age) {
      replicas += target->Rules().slots;
    }
  }
  if (pending.GetLane() == Lane::kReplica && replicas > 0) {
    return replicas;
  }
  // Without a primary, the next one has about as many slots as the others.
  return primary == nullptr ? largest : primary->Rules().slots;
}

void PolicyGroupScheduler::AdmitStep(std::unique_ptr<PendingRequest> pending,
                                     absl::Time now,
                                     Actions* actions) {
  PendingRequest* step = pending.get();
  m_requests[step->request.id] = std::move(pending);
  const auto found = m_transactions.find(step->request.transaction);
  if (found == m_transactions.end()) {
    Refuse(step, ErrorKind::kTransactionLost, "no_such_transaction", actions);
    return;
  }
  if (now > step->latest_start) {
    Refuse(step, ErrorKind::kDeadlineExceeded, "deadline_too_near", actions);
    return;
  }
  found->second.steps.push_back(step);
  m_expiry.emplace(step->latest_start, step->request.id);
  QueueNextStep(found->first, found->second);
}

void PolicyGroupScheduler::Admit(std::unique_ptr<PendingRequest> pending,
                                 absl::Time now,
                                 Actions* actions) {
  PendingRequest* admitted = pending.get();
  m_requests[admitted->request.id] = std::move(pending);
  const std::optional<Refusal> refusal =
      m_policies.admission->Decide(*admitted, LoadFor(*admitted, now), now);
  if (refusal.has_value()) {
    Refuse(admitted, refusal->kind, refusal->reason, actions);
    return;
  }
  Enqueue(admitted);
}

void PolicyGroupScheduler::Enqueue(PendingRequest* pending) {
  m_policies.queue->Push(pending);
  m_expiry.emplace(pending->latest_start, pending->request.id);
}

void PolicyGroupScheduler::Dequeue(PendingRequest* pending) {
  const ScheduledRequest& request = pending->request;
  if (m_expiry.erase({pending->latest_start, request.id}) == 0) {
    return;  // It was not waiting.
  }
  if (!pending->IsStep()) {
    m_policies.queue->Remove(pending);
    return;
  }
  const auto found = m_transactions.find(request.transaction);
  if (found == m_transactions.end()) {
    return;
  }
  std::deque<PendingRequest*>& steps = found->second.steps;
  m_ready_steps.erase(pending->sequence);
  steps.erase(std::find(steps.begin(), steps.end(), pending));
}

void PolicyGroupScheduler::Refuse(PendingRequest* pending,
                                  ErrorKind kind,
                                  absl::string_view reason,
                                  Actions* actions) {
  actions->push_back(RefuseRequest{pending->request.id, kind, reason});
  const TransactionId transaction =
      pending->IsStep() ? pending->request.transaction : 0;
  Dequeue(pending);
  Release(pending);
  const auto found = m_transactions.find(transaction);
  if (found != m_transactions.end()) {
    QueueNextStep(transaction, found->second);
  }
}

void PolicyGroupScheduler::Release(PendingRequest* pending) {
  m_requests.erase(pending->request.id);
}

void PolicyGroupScheduler::ExpireQueued(absl::Time now, Actions* actions) {
  while (!m_expiry.empty() && m_expiry.begin()->first < now) {
    PendingRequest* pending = m_requests.at(m_expiry.begin()->second).get();
    const Refusal refusal = ReasonOfExpiry(*pending, now);
    Refuse(pending, refusal.kind, refusal.reason, actions);
  }
}

Refusal PolicyGroupScheduler::ReasonOfExpiry(const PendingRequest& pending,
                                             absl::Time now) const {
  if (pending.GetLane() == Lane::kPrimary) {
    if (!m_primary.has_value()) {
      return {ErrorKind::kNoPrimary, "no_primary"};
    }
    return {ErrorKind::kDeadlineExceeded, "waited_too_long"};
  }
  for (const std::unique_ptr<TargetState>& target : m_targets) {
    if (target->AcceptsNewWork(now) && IsFresh(*target, pending, now)) {
      return {ErrorKind::kDeadlineExceeded, "waited_too_long"};
    }
  }
  return {ErrorKind::kStale, "no_fresh_target"};
}

void PolicyGroupScheduler::Dispatch(absl::Time now, Actions* actions) {
  ExpireQueued(now, actions);
  m_short_of_connections.clear();
  StartSteps(now, actions);
  while (PendingRequest* next = m_policies.queue->Next(
             now, [this, now](const PendingRequest& pending) {
               return Choose(pending, now);
             })) {
    Start(next, m_choice, now, actions);
  }
  OpenWanted(now, actions);
}

bool PolicyGroupScheduler::CanRunStep(const Transaction& transaction,
                                      absl::Time now) const {
  const TargetState& target = *transaction.target;
  return m_primary == target.Id() && target.AcceptsSteps(now) &&
         target.HasFreeSlot();
}

void PolicyGroupScheduler::StartSteps(absl::Time now, Actions* actions) {
  for (auto ready = m_ready_steps.begin(); ready != m_ready_steps.end();) {
    Transaction& transaction = m_transactions.at(ready->second);
    ++ready;  // Start removes the entry.
    if (!CanRunStep(transaction, now)) {
      continue;
    }
    PendingRequest* step = transaction.steps.front();
    const uint64_t next =
        ready == m_ready_steps.end() ? m_next_sequence : ready->first;
    Start(step, {transaction.target, transaction.connection, "transaction"},
          now, actions);
    ready = m_ready_steps.lower_bound(next);
  }
}

StartAnswer PolicyGroupScheduler::Choose(const PendingRequest& pending,
                                         absl::Time now) {
  return pending.GetLane() == Lane::kPrimary ? ChoosePrimary(pending, now)
                                             : ChooseForRead(pending, now);
}

StartAnswer PolicyGroupScheduler::ChoosePrimary(const PendingRequest& pending,
                                                absl::Time now) {
  TargetState* primary = Primary();
  if (primary == nullptr || !primary->AcceptsNewWork(now) ||
      !primary->HasFreeSlot()) {
    return StartAnswer::kNotThisLane;
  }
  if (pending.may_be_long && !MayRunLong(*primary, now)) {
    return pending.is_long ? StartAnswer::kNotThisKind
                           : StartAnswer::kNotThisRequest;
  }
  if (pending.request.begins_transaction &&
      !MayPin(*primary, pending.request.caller)) {
    return StartAnswer::kNotThisRequest;
  }
  const Connection* connection = primary->FreeConnection();
  if (connection == nullptr) {
    m_short_of_connections.push_back(primary);
    return StartAnswer::kNotThisLane;
  }
  m_choice = {primary, connection->id, "primary"};
  return StartAnswer::kStart;
}

bool PolicyGroupScheduler::MayPin(const TargetState& primary,
                                  const CallerName& caller) const {
  // One connection is left to single statements.
  const uint32_t connections = primary.Rules().connections;
  const uint32_t limit = connections > 1 ? connections - 1 : connections;
  const uint32_t pinned = primary.PinnedTransactions();
  if (pinned >= limit) {
    return false;
  }
  absl::flat_hash_map<absl::string_view, uint32_t> open;
  for (const auto& [id, transaction] : m_transactions) {
    ++open[transaction.caller];
  }
  uint64_t share_sum = 0;
  for (const auto& [name, share] : m_rules.shares) {
    share_sum += share;
  }
  const auto share = m_rules.shares.find(caller);
  const double part =
      share == m_rules.shares.end()
          ? 1.0
          : static_cast<double>(limit) * share->second / share_sum;
  const uint32_t own = open[caller];
  if (own < part) {
    return true;
  }
  // A lent connection cannot be taken back until its transaction ends, so a
  // few are left to callers that have none.
  const size_t without =
      m_rules.shares.size() - std::min(m_rules.shares.size(), open.size());
  return pinned + std::min<size_t>(without, kPinsLeft) < limit;
}

bool PolicyGroupScheduler::MayRunLong(const TargetState& target,
                                      absl::Time now) const {
  return target.RunningLong(m_durations, now) <
         m_policies.queue->SlotsForLongWork(target.Rules().slots);
}

bool PolicyGroupScheduler::HoldsPosition(const TargetState& target,
                                         Position position,
                                         absl::Time now) const {
  const TargetHealth& health = target.Health();
  if (health.applied >= position ||
      (target.Received() >= position && health.age <= kPromptAge)) {
    return true;
  }
  // The report is up to a status period old. While the group has a primary, a
  // replica that follows its term goes on pulling, so it holds by now what
  // existed one age ago.
  return m_primary.has_value() && health.applied.term == position.term &&
         m_positions.ExistedAt(position) + health.age + kPositionMargin <= now;
}

bool PolicyGroupScheduler::IsFresh(const TargetState& target,
                                   const PendingRequest& pending,
                                   absl::Time now) const {
  if (pending.IsRefusedBy(target.Id(), target.HealthAt())) {
    return false;
  }
  if (m_primary == target.Id()) {
    return true;
  }
  // Only a primary reports age zero. One that the group no longer follows
  // cannot know how old its data is.
  if (target.Health().age == absl::ZeroDuration()) {
    return false;
  }
  return target.AgeAt(now) + kAgeMargin <= pending.request.max_age &&
         HoldsPosition(target, pending.request.min_position, now);
}

// Returns whether any target has a free slot.
bool PolicyGroupScheduler::Collect(const PendingRequest& pending,
                                   absl::Time now) {
  m_candidates.clear();
  m_candidate_targets.clear();
  bool any_free = false;
  const bool primary_work =
      m_policies.queue->Queued(Lane::kPrimary) > 0 || !m_ready_steps.empty();
  for (const std::unique_ptr<TargetState>& target : m_targets) {
    if (!target->AcceptsNewWork(now)) {
      continue;
    }
    any_free = any_free || target->HasFreeSlot();
    if (!IsFresh(*target, pending, now)) {
      if (target->AgeAt(now) > pending.request.max_age) {
        target->MarkUnfit(pending.request.max_age, now);
      }
      continue;
    }
    const bool slot = target->HasFreeSlot() &&
                      (!pending.may_be_long || MayRunLong(*target, now));
    if (slot && !target->HasFreeConnection()) {
      m_short_of_connections.push_back(target.get());
    }
    ReadCandidate candidate;
    candidate.id = target->Id();
    candidate.primary = m_primary == target->Id();
    candidate.same_data_centre = target->SameDataCentre();
    candidate.can_start = slot && target->HasFreeConnection();
    candidate.primary_work = primary_work;
    candidate.age =
        candidate.primary ? absl::ZeroDuration() : target->AgeAt(now);
    candidate.slots = target->Rules().slots;
    candidate.running = target->Running();
    candidate.queued = target->Health().queued;
    candidate.recovery = target->Recovery(pending.request.max_age, now);
    m_candidates.push_back(std::move(candidate));
    m_candidate_targets.push_back(target.get());
  }
  return any_free;
}

StartAnswer PolicyGroupScheduler::ChooseForRead(const PendingRequest& pending,
                                                absl::Time now) {
  if (!Collect(pending, now)) {
    return StartAnswer::kNotThisLane;
  }
  const std::optional<size_t> chosen =
      m_policies.read->Choose(pending, m_candidates, now);
  if (!chosen.has_value()) {
    return StartAnswer::kNotThisRequest;
  }
  TargetState* target = m_candidate_targets[*chosen];
  const ReadCandidate& candidate = m_candidates[*chosen];
  m_choice = {target, target->FreeConnection()->id,
              candidate.primary            ? "no_replica_in_time"
              : candidate.same_data_centre ? "local_replica"
                                           : "remote_replica"};
  return StartAnswer::kStart;
}

void PolicyGroupScheduler::Start(PendingRequest* pending,
                                 const Choice& choice,
                                 absl::Time now,
                                 Actions* actions) {
  const ScheduledRequest& request = pending->request;
  Dequeue(pending);
  if (request.begins_transaction) {
    m_transactions[request.transaction] = {
        request.caller, choice.target, choice.connection, m_term, {}};
  }
  choice.target->Start(choice.connection, request, pending->may_be_long, now);
  m_policies.queue->Charge(*pending, pending->estimate.mean);
  ++m_running;
  actions->push_back(StartStatement{request.id, choice.target->Id(),
                                    choice.connection, TermFor(*choice.target),
                                    choice.reason});
}

void PolicyGroupScheduler::OnFinished(const FinishedStatement& finished,
                                      absl::Time now,
                                      Actions* actions) {
  TargetState* target = FindTarget(finished.target);
  if (target == nullptr ||
      !target->Finish(finished.connection, finished.request, now)) {
    return;  // Its connection has been reported closed.
  }
  --m_running;
  PendingRequest* pending = m_requests.at(finished.request).get();
  const bool ran = finished.end == StatementEnd::kRan;
  m_policies.queue->Charge(
      *pending,
      (ran ? finished.ran_for : absl::ZeroDuration()) - pending->estimate.mean);
  EndOnConnection(finished, *pending, target, now, actions);
  if (finished.end == StatementEnd::kRefused) {
    OnRefusedStatement(pending, target, now, actions);
  } else {
    if (ran) {
      m_durations.Learn(pending->request.shape, finished.ran_for);
      target->OnRan();
    }
    Release(pending);
  }
  Dispatch(now, actions);
}

void PolicyGroupScheduler::EndOnConnection(const FinishedStatement& finished,
                                           const PendingRequest& pending,
                                           TargetState* target,
                                           absl::Time /*now*/,
                                           Actions* actions) {
  const TransactionId id = pending.request.transaction;
  const bool lost =
      finished.end == StatementEnd::kLost || !finished.connection_usable;
  if (lost) {
    target->Erase(finished.connection);
    DropTransaction(id, "connection_lost", actions);
    return;
  }
  const auto found = m_transactions.find(id);
  if (found != m_transactions.end()) {
    const bool refused_begin = finished.end == StatementEnd::kRefused &&
                               pending.request.begins_transaction;
    if (finished.transaction_open && !refused_begin) {
      QueueNextStep(id, found->second);
    } else {
      UnpinTransaction(id, actions);
    }
  }
  const Connection* connection = target->Find(finished.connection);
  if (connection != nullptr && connection->close_when_idle) {
    CloseOn(target, finished.connection, "transaction_ended", actions);
  }
}

void PolicyGroupScheduler::OnRefusedStatement(PendingRequest* pending,
                                              TargetState* target,
                                              absl::Time now,
                                              Actions* actions) {
  const bool is_step = pending->IsStep();
  const auto transaction = m_transactions.find(pending->request.transaction);
  if (is_step && transaction == m_transactions.end()) {
    Refuse(pending, ErrorKind::kTransactionLost, "transaction_ended", actions);
    return;
  }
  target->OnRefused(pending->GetLane() == Lane::kPrimary, now);
  pending->OnRefusedBy(target->Id(), now);
  if (now > pending->latest_start) {
    Refuse(pending, ErrorKind::kDeadlineExceeded, "refused_too_late", actions);
  } else if (!m_budget.TryTake()) {
    Refuse(pending, ErrorKind::kUnavailable, "retry_budget_empty", actions);
  } else if (is_step) {
    std::deque<PendingRequest*>& steps = transaction->second.steps;
    if (!steps.empty()) {
      m_ready_steps.erase(steps.front()->sequence);
    }
    steps.push_front(pending);
    m_expiry.emplace(pending->latest_start, pending->request.id);
    QueueNextStep(transaction->first, transaction->second);
  } else {
    Enqueue(pending);
  }
}

void PolicyGroupScheduler::QueueNextStep(TransactionId id,
                                         const Transaction& transaction) {
  const Connection* connection =
      transaction.target->Find(transaction.connection);
  if (transaction.steps.empty() || connection == nullptr ||
      connection->running != 0) {
    return;
  }
  m_ready_steps[transaction.steps.front()->sequence] = id;
}

void PolicyGroupScheduler::UnpinTransaction(TransactionId id,
                                            Actions* actions) {
  const auto found = m_transactions.find(id);
  Connection* connection = found->second.target->Find(found->second.connection);
  if (connection != nullptr) {
    connection->transaction = 0;
  }
  const std::deque<PendingRequest*> steps = found->second.steps;
  for (PendingRequest* step : steps) {
    Refuse(step, ErrorKind::kTransactionLost, "transaction_ended", actions);
  }
  m_transactions.erase(id);
}

void PolicyGroupScheduler::DropTransaction(TransactionId id,
                                           absl::string_view reason,
                                           Actions* actions) {
  const auto found = m_transactions.find(id);
  if (found == m_transactions.end()) {
    return;
  }
  TargetState* target = found->second.target;
  const ConnectionId pinned = found->second.connection;
  UnpinTransaction(id, actions);
  Connection* connection = target->Find(pinned);
  if (connection == nullptr) {
    return;
  }
  if (connection->running != 0) {
    connection->close_when_idle = true;
  } else {
    CloseOn(target, pinned, reason, actions);
  }
}

template <typename Predicate>
void PolicyGroupScheduler::DropTransactionsIf(Predicate predicate,
                                              absl::string_view reason,
                                              Actions* actions) {
  std::vector<TransactionId> dropped;
  for (const auto& [id, transaction] : m_transactions) {
    if (predicate(transaction)) {
      dropped.push_back(id);
    }
  }
  std::sort(dropped.begin(), dropped.end());  // The map has no fixed order.
  for (const TransactionId id : dropped) {
    DropTransaction(id, reason, actions);
  }
}

void PolicyGroupScheduler::OnConnectionOpened(const TargetId& id,
                                              ConnectionId connection_id,
                                              absl::Time now,
                                              Actions* actions) {
  TargetState* target = FindTarget(id);
  Connection* connection =
      target == nullptr ? nullptr : target->Find(connection_id);
  if (connection == nullptr) {
    actions->push_back(CloseConnection{id, connection_id, "not_wanted"});
    return;
  }
  connection->open = true;
  connection->idle_since = now;
  target->OnOpened();
  Dispatch(now, actions);
}

void PolicyGroupScheduler::OnConnectionClosed(const TargetId& id,
                                              ConnectionId connection_id,
                                              absl::Time now,
                                              Actions* actions) {
  TargetState* target = FindTarget(id);
  if (target == nullptr) {
    return;
  }
  const Connection closed = target->Erase(connection_id);
  if (closed.id == 0) {
    return;
  }
  if (!closed.open) {
    target->OnOpenFailed(now);
  }
  DropTransaction(closed.transaction, "connection_lost", actions);
  if (closed.running != 0) {
    --m_running;
    Release(m_requests.at(closed.running).get());
  }
  Dispatch(now, actions);
}

void PolicyGroupScheduler::AbandonTransaction(TransactionId transaction,
                                              absl::Time now,
                                              Actions* actions) {
  DropTransaction(transaction, "transaction_abandoned", actions);
  Dispatch(now, actions);
}

bool PolicyGroupScheduler::HasTransaction(TransactionId transaction) const {
  return m_transactions.contains(transaction);
}

void PolicyGroupScheduler::CloseOn(TargetState* target,
                                   ConnectionId connection,
                                   absl::string_view reason,
                                   Actions* actions) {
  target->Erase(connection);
  actions->push_back(CloseConnection{target->Id(), connection, reason});
}

void PolicyGroupScheduler::OpenWanted(absl::Time now, Actions* actions) {
  for (const std::unique_ptr<TargetState>& target : m_targets) {
    if (!target->AcceptsNewWork(now)) {
      continue;
    }
    const uint32_t waiting =
        std::count(m_short_of_connections.begin(), m_short_of_connections.end(),
                   target.get()) > 0
            ? 1
            : 0;
    const uint32_t wanted =
        m_policies.connection->Wanted(target->Demand(waiting));
    while (target->Connections().size() < wanted && target->MayOpen(now)) {
      const ConnectionId connection = m_next_connection++;
      target->AddOpening(connection, now);
      actions->push_back(
          OpenConnection{target->Id(), connection,
                         waiting > 0 ? "request_waits" : "ahead_of_need"});
    }
  }
}

void PolicyGroupScheduler::CloseSurplus(absl::Time now, Actions* actions) {
  for (const std::unique_ptr<TargetState>& target : m_targets) {
    const uint32_t wanted = m_policies.connection->Wanted(target->Demand(0));
    const uint32_t share = target->Rules().connections;
    const absl::Time idle_limit = now - m_policies.connection->IdleTimeout();
    std::vector<ConnectionId> surplus;
    size_t count = target->Connections().size();
    for (const Connection& connection : target->Connections()) {
      const bool over_share = count > share;
      const bool unused = count > wanted && connection.idle_since < idle_limit;
      if (connection.IsFree() && (over_share || unused)) {
        surplus.push_back(connection.id);
        --count;
      }
    }
    for (const ConnectionId connection : surplus) {
      CloseOn(target.get(), connection, "surplus", actions);
    }
  }
}

void PolicyGroupScheduler::RemoveEmptyTargets(Actions* actions) {
  for (size_t index = 0; index < m_targets.size();) {
    TargetState* target = m_targets[index].get();
    if (!target->IsRemoved() || target->Running() > 0 ||
        target->PinnedTransactions() > 0) {
      ++index;
      continue;
    }
    while (!target->Connections().empty()) {
      CloseOn(target, target->Connections().back().id, "target_removed",
              actions);
    }
    m_targets.erase(m_targets.begin() + static_cast<ptrdiff_t>(index));
  }
}

void PolicyGroupScheduler::OnTick(absl::Time now, Actions* actions) {
  DropTransactionsIf(
      [now](const Transaction& transaction) {
        return transaction.target->HasLeft(now);
      },
      "target_left", actions);
  DropTransactionsIf(
      [now](const Transaction& transaction) {
        const Connection* connection =
            transaction.target->Find(transaction.connection);
        return connection != nullptr && connection->running == 0 &&
               transaction.steps.empty() &&
               now - connection->idle_since > kIdleTransactionLimit;
      },
      "transaction_idle", actions);
  CloseSurplus(now, actions);
  RemoveEmptyTargets(actions);
  Dispatch(now, actions);
}

SchedulerStatistics PolicyGroupScheduler::Statistics() const {
  SchedulerStatistics statistics;
  statistics.queued = m_expiry.size();
  statistics.running = m_running;
  statistics.open_transactions = m_transactions.size();
  for (const std::unique_ptr<TargetState>& target : m_targets) {
    statistics.connections += target->Connections().size();
  }
  return statistics;
}

}  // namespace heatherwick
