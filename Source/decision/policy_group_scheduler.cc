// Implements admission, dispatch, requeueing, transactions and connections of a
// group.

#include "Source/decision/policy_group_scheduler.h"

#include <algorithm>

#include "Source/kernel/registry.h"

namespace heatherwick {
namespace {

// Approximate time that a read takes to reach its target, which checks the age
// of its data when the read arrives.
constexpr absl::Duration kAgeMargin = absl::Milliseconds(5);
// Allows for the time that a replica's pull and its status report take to
// arrive.
constexpr absl::Duration kPositionMargin = absl::Milliseconds(5);
// A replica whose data is at most this old applies log entries as soon as it
// receives them. An idle replica also reaches this age between two pulls.
constexpr absl::Duration kPromptReplicaMaxAge = absl::Milliseconds(100);

// Maximum number of connections reserved for callers that have no open
// transaction.
constexpr size_t kMaxReservedPins = 2;
// See docs/design.md, section 7.
constexpr absl::Duration kIdleTransactionTimeout = absl::Seconds(30);
// After a promotion, the queue has to drain before its service rate predicts
// the wait.
constexpr absl::Duration kSteadyAfterPrimaryChange = absl::Seconds(1);

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

void PolicyGroupScheduler::OnConfig(const GroupConfig& config,
                                    absl::Time now,
                                    Actions* actions) {
  m_config = config;
  m_policies.queue->OnShares(config.shares);
  std::vector<TargetId> kept;
  for (const TargetConfig& target_config : config.targets) {
    const bool local = target_config.data_centre == config.own_data_centre;
    kept.push_back(target_config.id);
    if (TargetState* target = FindTarget(target_config.id); target != nullptr) {
      target->SetConfig(target_config, local);
    } else {
      m_targets.push_back(std::make_unique<TargetState>(target_config, local));
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
    // A transaction ends with the term of its primary.
    DropTransactionsIf(
        [&](const Transaction& transaction) {
          return transaction.term != term ||
                 transaction.target->Id() != *primary;
        },
        "primary_changed", actions);
    if (TargetState* target = Primary(); target != nullptr) {
      target->ResetBackoff();
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
  m_position_timeline.OnPositionSeen(health.applied, now);
  Dispatch(now, actions);
}

void PolicyGroupScheduler::OnTargetPosition(const TargetId& id,
                                            PositionKind kind,
                                            Position last,
                                            absl::Time now) {
  TargetState* target = FindTarget(id);
  if (target != nullptr) {
    target->OnPosition(kind, last);
    m_position_timeline.OnPositionSeen(last, now);
  }
}

void PolicyGroupScheduler::OnCommitDelay(absl::Duration delay) {
  m_commit_delay = delay;
}

void PolicyGroupScheduler::OnRequest(const ScheduledRequest& request,
                                     absl::Time now,
                                     Actions* actions) {
  m_retry_budget.OnRequest();
  m_position_timeline.OnPositionSeen(request.min_position, now);
  std::unique_ptr<PendingRequest> pending = MakePendingRequest(request, now);
  if (pending->IsStep()) {
    AdmitStep(std::move(pending), now, actions);
  } else {
    Admit(std::move(pending), now, actions);
  }
  Dispatch(now, actions);
}

std::unique_ptr<PendingRequest> PolicyGroupScheduler::MakePendingRequest(
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
      pending->is_long || m_durations.IsNewShape(request.shape);
  const bool writes = pending->request.request_class == RequestClass::kWrite;
  pending->latest_start = m_policies.admission->LatestStart(
      pending->request, pending->estimate,
      writes ? m_commit_delay : absl::ZeroDuration());
  return pending;
}

AdmissionLoad PolicyGroupScheduler::MakeAdmissionLoad(
    const PendingRequest& pending,
    absl::Time now) const {
  AdmissionLoad load;
  load.ahead = m_policies.queue->EstimateWorkAhead(pending, now);
  load.served_steadily = pending.GetLane() == Lane::kPrimary &&
                         m_primary.has_value() &&
                         now >= m_primary_since + kSteadyAfterPrimaryChange;
  load.slots = AvailableSlots(pending, now);
  load.queued = m_waiting_by_expiry.size();
  load.max_queued = m_max_queued;
  return load;
}

uint32_t PolicyGroupScheduler::AvailableSlots(const PendingRequest& pending,
                                              absl::Time now) const {
  const TargetState* primary = Primary();
  uint32_t replicas = 0;
  uint32_t largest = 0;
  for (const std::unique_ptr<TargetState>& target : m_targets) {
    largest = std::max(largest, target->Config().slots);
    if (target.get() != primary && target->AcceptsNewWork(now) &&
        target->AgeAt(now) <= pending.request.max_age) {
      replicas += target->Config().slots;
    }
  }
  if (pending.GetLane() == Lane::kReplica && replicas > 0) {
    return replicas;
  }
  // While there is no primary, assumes that the next one has as many slots as
  // the largest target.
  return primary == nullptr ? largest : primary->Config().slots;
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
  m_waiting_by_expiry.emplace(step->latest_start, step->request.id);
  QueueNextStep(found->first, found->second);
}

void PolicyGroupScheduler::Admit(std::unique_ptr<PendingRequest> pending,
                                 absl::Time now,
                                 Actions* actions) {
  PendingRequest* admitted = pending.get();
  m_requests[admitted->request.id] = std::move(pending);
  const std::optional<Refusal> refusal = m_policies.admission->CheckAdmission(
      *admitted, MakeAdmissionLoad(*admitted, now), now);
  if (refusal.has_value()) {
    Refuse(admitted, refusal->kind, refusal->reason, actions);
    return;
  }
  Enqueue(admitted);
}

void PolicyGroupScheduler::Enqueue(PendingRequest* pending) {
  m_policies.queue->Push(pending);
  m_waiting_by_expiry.emplace(pending->latest_start, pending->request.id);
}

void PolicyGroupScheduler::Dequeue(PendingRequest* pending) {
  const ScheduledRequest& request = pending->request;
  if (m_waiting_by_expiry.erase({pending->latest_start, request.id}) == 0) {
    return;  // The request was not waiting.
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
  EraseRequest(pending);
  const auto found = m_transactions.find(transaction);
  if (found != m_transactions.end()) {
    QueueNextStep(transaction, found->second);
  }
}

void PolicyGroupScheduler::EraseRequest(PendingRequest* pending) {
  m_requests.erase(pending->request.id);
}

void PolicyGroupScheduler::ExpireQueued(absl::Time now, Actions* actions) {
  while (!m_waiting_by_expiry.empty() &&
         m_waiting_by_expiry.begin()->first < now) {
    PendingRequest* pending =
        m_requests.at(m_waiting_by_expiry.begin()->second).get();
    const Refusal refusal = MakeExpiryRefusal(*pending, now);
    Refuse(pending, refusal.kind, refusal.reason, actions);
  }
}

Refusal PolicyGroupScheduler::MakeExpiryRefusal(const PendingRequest& pending,
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
  OpenWantedConnections(now, actions);
}

bool PolicyGroupScheduler::CanRunStep(const Transaction& transaction,
                                      absl::Time now) const {
  const TargetState& target = *transaction.target;
  return m_primary == target.Id() && target.AcceptsTransactionSteps(now) &&
         target.HasFreeSlot();
}

void PolicyGroupScheduler::StartSteps(absl::Time now, Actions* actions) {
  for (auto ready = m_ready_steps.begin(); ready != m_ready_steps.end();) {
    Transaction& transaction = m_transactions.at(ready->second);
    ++ready;  // Start removes the current entry.
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

StartCheck PolicyGroupScheduler::Choose(const PendingRequest& pending,
                                        absl::Time now) {
  return pending.GetLane() == Lane::kPrimary ? ChoosePrimary(pending, now)
                                             : ChooseForRead(pending, now);
}

StartCheck PolicyGroupScheduler::ChoosePrimary(const PendingRequest& pending,
                                               absl::Time now) {
  TargetState* primary = Primary();
  if (primary == nullptr || !primary->AcceptsNewWork(now) ||
      !primary->HasFreeSlot()) {
    return StartCheck::kLaneBlocked;
  }
  if (pending.may_be_long && !MayRunLongStatement(*primary, now)) {
    return pending.is_long ? StartCheck::kKindBlocked
                           : StartCheck::kRequestBlocked;
  }
  if (pending.request.begins_transaction &&
      !MayPinConnection(*primary, pending.request.caller)) {
    return StartCheck::kRequestBlocked;
  }
  const Connection* connection = primary->FreeConnection();
  if (connection == nullptr) {
    m_short_of_connections.push_back(primary);
    return StartCheck::kLaneBlocked;
  }
  m_choice = {primary, connection->id, "primary"};
  return StartCheck::kCanStart;
}

bool PolicyGroupScheduler::MayPinConnection(const TargetState& primary,
                                            const CallerName& caller) const {
  // One connection is reserved for statements outside transactions.
  const uint32_t connections = primary.Config().connections;
  const uint32_t limit = connections > 1 ? connections - 1 : connections;
  const uint32_t pinned = primary.PinnedTransactionCount();
  if (pinned >= limit) {
    return false;
  }
  absl::flat_hash_map<absl::string_view, uint32_t> open;
  for (const auto& [id, transaction] : m_transactions) {
    ++open[transaction.caller];
  }
  uint64_t share_sum = 0;
  for (const auto& [name, share] : m_config.shares) {
    share_sum += share;
  }
  const auto share = m_config.shares.find(caller);
  const double part =
      share == m_config.shares.end()
          ? 1.0
          : static_cast<double>(limit) * share->second / share_sum;
  const uint32_t own = open[caller];
  if (own < part) {
    return true;
  }
  // The caller already uses its part. A further connection cannot be reclaimed
  // until its transaction ends, so a few are reserved for callers that have no
  // open transaction.
  const size_t without =
      m_config.shares.size() - std::min(m_config.shares.size(), open.size());
  return pinned + std::min<size_t>(without, kMaxReservedPins) < limit;
}

bool PolicyGroupScheduler::MayRunLongStatement(const TargetState& target,
                                               absl::Time now) const {
  return target.LongRunningCount(m_durations, now) <
         m_policies.queue->MaxSlotsForLongWork(target.Config().slots);
}

bool PolicyGroupScheduler::HoldsPosition(const TargetState& target,
                                         Position position,
                                         absl::Time now) const {
  const TargetHealth& health = target.Health();
  if (health.applied >= position ||
      (target.Received() >= position && health.age <= kPromptReplicaMaxAge)) {
    return true;
  }
  // The health report may be one status period old. While the group has a
  // primary, a replica in the primary's term keeps pulling the log. Its data is
  // therefore still no older than `health.age`, and it holds every position
  // that existed that long ago.
  return m_primary.has_value() && health.applied.term == position.term &&
         m_position_timeline.SeenBy(position) + health.age + kPositionMargin <=
             now;
}

bool PolicyGroupScheduler::IsFresh(const TargetState& target,
                                   const PendingRequest& pending,
                                   absl::Time now) const {
  if (pending.IsRefusedBy(target.Id(), target.HealthReportedAt())) {
    return false;
  }
  if (m_primary == target.Id()) {
    return true;
  }
  // Only a primary reports age zero. A target that still reports it although it
  // is no longer the group's primary cannot know how old its data is.
  if (target.Health().age == absl::ZeroDuration()) {
    return false;
  }
  return target.AgeAt(now) + kAgeMargin <= pending.request.max_age &&
         HoldsPosition(target, pending.request.min_position, now);
}

// Returns whether any target has a free slot.
bool PolicyGroupScheduler::CollectCandidates(const PendingRequest& pending,
                                             absl::Time now) {
  m_candidates.clear();
  m_candidate_targets.clear();
  bool any_free = false;
  const bool primary_work_waiting =
      m_policies.queue->Queued(Lane::kPrimary) > 0 || !m_ready_steps.empty();
  for (const std::unique_ptr<TargetState>& target : m_targets) {
    if (!target->AcceptsNewWork(now)) {
      continue;
    }
    any_free = any_free || target->HasFreeSlot();
    if (!IsFresh(*target, pending, now)) {
      if (target->AgeAt(now) > pending.request.max_age) {
        target->MarkUnsuitable(pending.request.max_age, now);
      }
      continue;
    }
    const bool slot =
        target->HasFreeSlot() &&
        (!pending.may_be_long || MayRunLongStatement(*target, now));
    if (slot && !target->HasFreeConnection()) {
      m_short_of_connections.push_back(target.get());
    }
    ReadCandidate candidate;
    candidate.id = target->Id();
    candidate.primary = m_primary == target->Id();
    candidate.same_data_centre = target->SameDataCentre();
    candidate.can_start = slot && target->HasFreeConnection();
    candidate.primary_work_waiting = primary_work_waiting;
    candidate.age =
        candidate.primary ? absl::ZeroDuration() : target->AgeAt(now);
    candidate.slots = target->Config().slots;
    candidate.running = target->Running();
    candidate.queued = target->Health().queued;
    candidate.recovery = target->Recovery(pending.request.max_age, now);
    m_candidates.push_back(std::move(candidate));
    m_candidate_targets.push_back(target.get());
  }
  return any_free;
}

StartCheck PolicyGroupScheduler::ChooseForRead(const PendingRequest& pending,
                                               absl::Time now) {
  if (!CollectCandidates(pending, now)) {
    return StartCheck::kLaneBlocked;
  }
  const std::optional<size_t> chosen =
      m_policies.read->Choose(pending, m_candidates, now);
  if (!chosen.has_value()) {
    return StartCheck::kRequestBlocked;
  }
  TargetState* target = m_candidate_targets[*chosen];
  const ReadCandidate& candidate = m_candidates[*chosen];
  m_choice = {target, target->FreeConnection()->id,
              candidate.primary            ? "no_replica_in_time"
              : candidate.same_data_centre ? "local_replica"
                                           : "remote_replica"};
  return StartCheck::kCanStart;
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
    return;  // The connection was already reported as closed.
  }
  --m_running;
  PendingRequest* pending = m_requests.at(finished.request).get();
  const bool ran = finished.end == StatementEnd::kRan;
  m_policies.queue->Charge(
      *pending,
      (ran ? finished.ran_for : absl::ZeroDuration()) - pending->estimate.mean);
  UpdateConnectionAfterStatement(finished, *pending, target, now, actions);
  if (finished.end == StatementEnd::kRefused) {
    RetryOrRefuse(pending, target, now, actions);
  } else {
    if (ran) {
      m_durations.RecordDuration(pending->request.shape, finished.ran_for);
      target->OnRan();
    }
    EraseRequest(pending);
  }
  Dispatch(now, actions);
}

void PolicyGroupScheduler::UpdateConnectionAfterStatement(
    const FinishedStatement& finished,
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
    CloseTargetConnection(target, finished.connection, "transaction_ended",
                          actions);
  }
}

void PolicyGroupScheduler::RetryOrRefuse(PendingRequest* pending,
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
  } else if (!m_retry_budget.TryTake()) {
    Refuse(pending, ErrorKind::kUnavailable, "retry_budget_empty", actions);
  } else if (is_step) {
    std::deque<PendingRequest*>& steps = transaction->second.steps;
    if (!steps.empty()) {
      m_ready_steps.erase(steps.front()->sequence);
    }
    steps.push_front(pending);
    m_waiting_by_expiry.emplace(pending->latest_start, pending->request.id);
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
    CloseTargetConnection(target, pinned, reason, actions);
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
  std::sort(dropped.begin(), dropped.end());  // The map's order is not fixed.
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
    EraseRequest(m_requests.at(closed.running).get());
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

void PolicyGroupScheduler::CloseTargetConnection(TargetState* target,
                                                 ConnectionId connection,
                                                 absl::string_view reason,
                                                 Actions* actions) {
  target->Erase(connection);
  actions->push_back(CloseConnection{target->Id(), connection, reason});
}

void PolicyGroupScheduler::OpenWantedConnections(absl::Time now,
                                                 Actions* actions) {
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
        m_policies.connection->WantedConnections(target->Demand(waiting));
    while (target->Connections().size() < wanted && target->MayOpen(now)) {
      const ConnectionId connection = m_next_connection++;
      target->AddOpening(connection, now);
      actions->push_back(
          OpenConnection{target->Id(), connection,
                         waiting > 0 ? "request_waits" : "ahead_of_need"});
    }
  }
}

void PolicyGroupScheduler::CloseSurplusConnections(absl::Time now,
                                                   Actions* actions) {
  for (const std::unique_ptr<TargetState>& target : m_targets) {
    const uint32_t wanted =
        m_policies.connection->WantedConnections(target->Demand(0));
    const uint32_t share = target->Config().connections;
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
      CloseTargetConnection(target.get(), connection, "surplus", actions);
    }
  }
}

void PolicyGroupScheduler::RemoveUnusedTargets(Actions* actions) {
  for (size_t index = 0; index < m_targets.size();) {
    TargetState* target = m_targets[index].get();
    if (!target->IsRemoved() || target->Running() > 0 ||
        target->PinnedTransactionCount() > 0) {
      ++index;
      continue;
    }
    while (!target->Connections().empty()) {
      CloseTargetConnection(target, target->Connections().back().id,
                            "target_removed", actions);
    }
    m_targets.erase(m_targets.begin() + static_cast<ptrdiff_t>(index));
  }
}

void PolicyGroupScheduler::OnTick(absl::Time now, Actions* actions) {
  DropTransactionsIf(
      [now](const Transaction& transaction) {
        return transaction.target->LeavingGraceExpired(now);
      },
      "target_left", actions);
  DropTransactionsIf(
      [now](const Transaction& transaction) {
        const Connection* connection =
            transaction.target->Find(transaction.connection);
        return connection != nullptr && connection->running == 0 &&
               transaction.steps.empty() &&
               now - connection->idle_since > kIdleTransactionTimeout;
      },
      "transaction_idle", actions);
  CloseSurplusConnections(now, actions);
  RemoveUnusedTargets(actions);
  Dispatch(now, actions);
}

SchedulerStatistics PolicyGroupScheduler::Statistics() const {
  SchedulerStatistics statistics;
  statistics.queued = m_waiting_by_expiry.size();
  statistics.running = m_running;
  statistics.open_transactions = m_transactions.size();
  for (const std::unique_ptr<TargetState>& target : m_targets) {
    statistics.connections += target->Connections().size();
  }
  return statistics;
}

}  // namespace heatherwick
