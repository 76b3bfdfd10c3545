// Implements the group scheduler: keeps the requests, targets and transactions
// of a group. The policies decide in which order and where requests run.

#ifndef SOURCE_DECISION_POLICY_GROUP_SCHEDULER_H_
#define SOURCE_DECISION_POLICY_GROUP_SCHEDULER_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "Source/decision/admission_policy.h"
#include "Source/decision/connection_policy.h"
#include "Source/decision/duration_model.h"
#include "Source/decision/group_scheduler.h"
#include "Source/decision/pending_request.h"
#include "Source/decision/position_timeline.h"
#include "Source/decision/queue_policy.h"
#include "Source/decision/read_policy.h"
#include "Source/decision/retry_budget.h"
#include "Source/decision/target_state.h"
#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"

namespace heatherwick {

struct SchedulerPolicies {
  std::unique_ptr<QueuePolicy> queue;
  std::unique_ptr<ReadPolicy> read;
  std::unique_ptr<ConnectionPolicy> connection;
  std::unique_ptr<AdmissionPolicy> admission;
};

class PolicyGroupScheduler : public GroupScheduler {
 public:
  using Actions = std::vector<SchedulerAction>;

  PolicyGroupScheduler(SchedulerPolicies policies, uint32_t max_queued);

  void OnConfig(const GroupConfig& config,
                absl::Time now,
                Actions* actions) override;
  void OnPrimary(const std::optional<TargetId>& primary,
                 uint64_t term,
                 absl::Time now,
                 Actions* actions) override;
  void OnTargetHealth(const TargetId& target,
                      const TargetHealth& health,
                      absl::Time now,
                      Actions* actions) override;
  void OnTargetPosition(const TargetId& target,
                        PositionKind kind,
                        Position last,
                        absl::Time now) override;
  void OnCommitDelay(absl::Duration delay) override;
  void OnRequest(const ScheduledRequest& request,
                 absl::Time now,
                 Actions* actions) override;
  void OnFinished(const FinishedStatement& finished,
                  absl::Time now,
                  Actions* actions) override;
  void OnConnectionOpened(const TargetId& target,
                          ConnectionId connection,
                          absl::Time now,
                          Actions* actions) override;
  void OnConnectionClosed(const TargetId& target,
                          ConnectionId connection,
                          absl::Time now,
                          Actions* actions) override;
  void AbandonTransaction(TransactionId transaction,
                          absl::Time now,
                          Actions* actions) override;
  bool HasTransaction(TransactionId transaction) const override;
  void OnTick(absl::Time now, Actions* actions) override;
  SchedulerStatistics Statistics() const override;

 private:
  struct Transaction {
    CallerName caller;
    TargetState* target = nullptr;
    ConnectionId connection = 0;
    uint64_t term = 0;
    std::deque<PendingRequest*> steps;  // Waiting statements, in order.
  };
  struct Choice {
    TargetState* target = nullptr;
    ConnectionId connection = 0;
    absl::string_view reason;
  };

  TargetState* FindTarget(const TargetId& id) const;
  TargetState* Primary() const;
  uint64_t TermFor(const TargetState& target) const;

  // Admission of new requests.
  std::unique_ptr<PendingRequest> MakePendingRequest(
      const ScheduledRequest& request,
      absl::Time now);
  AdmissionLoad MakeAdmissionLoad(const PendingRequest& pending,
                                  absl::Time now) const;
  uint32_t AvailableSlots(const PendingRequest& pending, absl::Time now) const;
  void AdmitStep(std::unique_ptr<PendingRequest> pending,
                 absl::Time now,
                 Actions* actions);
  void Admit(std::unique_ptr<PendingRequest> pending,
             absl::Time now,
             Actions* actions);

  // The queue of waiting requests.
  void Enqueue(PendingRequest* pending);
  void Dequeue(PendingRequest* pending);
  void Refuse(PendingRequest* pending,
              ErrorKind kind,
              absl::string_view reason,
              Actions* actions);
  void ExpireQueued(absl::Time now, Actions* actions);
  Refusal MakeExpiryRefusal(const PendingRequest& pending,
                            absl::Time now) const;

  // Start of statements.
  void Dispatch(absl::Time now, Actions* actions);
  void StartSteps(absl::Time now, Actions* actions);
  bool CanRunStep(const Transaction& transaction, absl::Time now) const;
  StartCheck Choose(const PendingRequest& pending, absl::Time now);
  StartCheck ChoosePrimary(const PendingRequest& pending, absl::Time now);
  StartCheck ChooseForRead(const PendingRequest& pending, absl::Time now);
  bool CollectCandidates(const PendingRequest& pending, absl::Time now);
  bool IsFresh(const TargetState& target,
               const PendingRequest& pending,
               absl::Time now) const;
  bool HoldsPosition(const TargetState& target,
                     Position position,
                     absl::Time now) const;
  // Whether the caller may pin one more connection of the primary.
  bool MayPinConnection(const TargetState& primary,
                        const CallerName& caller) const;
  bool MayRunLongStatement(const TargetState& target, absl::Time now) const;
  void Start(PendingRequest* pending,
             const Choice& choice,
             absl::Time now,
             Actions* actions);

  // End of statements.
  void RetryOrRefuse(PendingRequest* pending,
                     TargetState* target,
                     absl::Time now,
                     Actions* actions);
  void UpdateConnectionAfterStatement(const FinishedStatement& finished,
                                      const PendingRequest& pending,
                                      TargetState* target,
                                      absl::Time now,
                                      Actions* actions);
  void EraseRequest(PendingRequest* pending);

  // Transactions and connections.
  void UnpinTransaction(TransactionId id, Actions* actions);
  // Ends a transaction that cannot continue, and closes its connection as soon
  // as no statement runs on it.
  void DropTransaction(TransactionId id,
                       absl::string_view reason,
                       Actions* actions);
  template <typename Predicate>
  void DropTransactionsIf(Predicate predicate,
                          absl::string_view reason,
                          Actions* actions);
  void QueueNextStep(TransactionId id, const Transaction& transaction);
  void CloseTargetConnection(TargetState* target,
                             ConnectionId connection,
                             absl::string_view reason,
                             Actions* actions);
  void OpenWantedConnections(absl::Time now, Actions* actions);
  void CloseSurplusConnections(absl::Time now, Actions* actions);
  void RemoveUnusedTargets(Actions* actions);

  SchedulerPolicies m_policies;
  const uint32_t m_max_queued;
  GroupConfig m_config;
  std::vector<std::unique_ptr<TargetState>> m_targets;
  std::optional<TargetId> m_primary;
  absl::Time m_primary_since = absl::InfinitePast();
  uint64_t m_term = 0;  // Term of the latest primary.
  absl::Duration m_commit_delay;
  DurationModel m_durations;
  PositionTimeline m_position_timeline;
  RetryBudget m_retry_budget;

  uint64_t m_next_sequence = 1;
  ConnectionId m_next_connection = 1;
  // All waiting and running requests.
  absl::flat_hash_map<RequestId, std::unique_ptr<PendingRequest>> m_requests;
  // Waiting requests, including transaction steps, by latest start.
  absl::btree_set<std::pair<absl::Time, RequestId>> m_waiting_by_expiry;
  absl::flat_hash_map<TransactionId, Transaction> m_transactions;
  // Transactions that run no statement and have a waiting step, by the sequence
  // number of their first waiting step.
  absl::btree_map<uint64_t, TransactionId> m_ready_steps;
  uint32_t m_running = 0;

  // Set by each Choose that returns kCanStart.
  Choice m_choice;
  // Targets that had a free slot but no free connection in this Dispatch.
  std::vector<const TargetState*> m_short_of_connections;
  // Members only to avoid allocations.
  std::vector<ReadCandidate> m_candidates;
  std::vector<TargetState*> m_candidate_targets;
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_POLICY_GROUP_SCHEDULER_H_
