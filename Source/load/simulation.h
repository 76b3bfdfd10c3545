// One group's home, its targets and its callers in virtual time. Drives the
// real GroupScheduler, FailoverController and CommitTracker.

#ifndef SOURCE_LOAD_SIMULATION_H_
#define SOURCE_LOAD_SIMULATION_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "Source/decision/commit_tracker.h"
#include "Source/decision/failover_controller.h"
#include "Source/decision/group_scheduler.h"
#include "Source/load/event_queue.h"
#include "Source/load/experiment.h"
#include "Source/load/fake_target.h"
#include "Source/load/workload.h"
#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

namespace heatherwick {

// A replica that falls behind for a while.
struct LagFault {
  size_t target = 0;
  absl::Duration from;
  absl::Duration to;
  absl::Duration lag;
};

struct SimulationOptions {
  SchedulerOptions scheduler;
  absl::Duration length;
  std::vector<LagFault> lags;
  std::optional<absl::Duration> crash_primary_at;
};

enum class OutcomeKind { kDone, kLate, kRefused, kUnknown, kOpen };

// The end of one statement of the workload. Times count from the start.
struct Outcome {
  RequestClass request_class = RequestClass::kWrite;
  uint32_t caller = 0;
  bool is_long = false;
  OutcomeKind kind = OutcomeKind::kOpen;
  absl::Duration arrived;
  absl::Duration started = absl::InfiniteDuration();  // The last start.
  absl::Duration ended = absl::InfiniteDuration();
  absl::Duration occupancy;  // Time that it held a slot in its last run.
  // Slot time of this statement and of those that were to follow in its
  // transaction, when it was not done.
  absl::Duration missed;
  bool at_primary = false;
  uint32_t starts = 0;
  // An order that was refused while the primary ran a read that accepts age.
  bool refused_beside_browsing = false;
};

struct SimulationResult {
  std::vector<Outcome> outcomes;
  uint32_t most_statements = 0;  // At one target at the same time.
};

class Simulation {
 public:
  // `plan` must outlive the simulation.
  Simulation(const Experiment& experiment,
             const std::vector<PlannedRequest>& plan,
             SimulationOptions options);

  SimulationResult Run();

 private:
  struct Live {
    const PlannedRequest* planned = nullptr;
    size_t statement = 0;  // Index within the request.
    size_t outcome = 0;
    ScheduledRequest request;
    absl::Time started;
    ConnectionId connection = 0;
    size_t target = 0;
    bool running = false;
    Position position;  // Of a statement that waits for its confirmation.
  };

  size_t IndexOf(const TargetId& target) const;
  absl::Duration Latency(size_t target) const { return m_latencies[target]; }
  absl::Duration SinceStart() const { return m_events.Now() - m_start; }

  void SetUp();
  void ScheduleArrivals(size_t index);
  void SchedulePull(size_t replica);
  void ScheduleTick();
  absl::Duration LagOf(size_t target) const;

  void Submit(const PlannedRequest& planned,
              size_t statement,
              TransactionId transaction);
  void ContinueTransaction(const Live& live, bool open);
  Position& SessionOf(const PlannedRequest& planned);

  // Applies what the decision classes ask for.
  void ApplyScheduler();
  void ApplyFailover();
  void ApplyCommits();
  void Apply(const StartStatement& start);
  void Apply(const RefuseRequest& refusal);
  void Apply(const OpenConnection& open);
  void Apply(const CloseConnection& close);
  void Apply(const ReadTargetStatus& read);
  void Apply(const FenceTarget& fence);
  void Apply(const PromoteTarget& promote);
  void Apply(const PrimaryKnown& known);
  void Apply(const PrimaryLost& lost);
  void Apply(const PromotionStep& step);
  void Apply(const WaitForPosition& wait);
  void Apply(const RequestConfirmed& confirmed);
  void Apply(const RequestUnconfirmed& unconfirmed);

  void OnStatus(size_t target, const TargetStatus& status);
  void OnStatusTimeout(size_t target);
  void OnReply(RequestId id, const FakeReply& reply);
  void EndStatement(const Live& live, OutcomeKind kind);
  void CrashPrimary();
  bool PrimaryRunsAgedRead() const;

  const Experiment m_experiment;
  const std::vector<PlannedRequest>& m_plan;
  const SimulationOptions m_options;
  EventQueue m_events;
  const absl::Time m_start;
  std::mt19937_64 m_random;
  std::unique_ptr<GroupScheduler> m_scheduler;
  FailoverController m_controller;
  CommitTracker m_tracker;
  std::vector<std::unique_ptr<FakeTarget>> m_targets;
  std::vector<absl::Duration> m_latencies;
  std::optional<size_t> m_primary;  // As the home knows it.

  std::vector<SchedulerAction> m_scheduler_actions;
  std::vector<FailoverAction> m_failover_actions;
  std::vector<CommitAction> m_commit_actions;

  RequestId m_last_request = 0;
  TransactionId m_last_transaction = 0;
  absl::flat_hash_map<RequestId, Live> m_live;
  absl::flat_hash_map<RequestId, Live> m_unconfirmed;
  // Open or opening connections of each target.
  std::vector<std::vector<ConnectionId>> m_connections;
  std::map<uint64_t, Position> m_sessions;
  std::vector<Outcome> m_outcomes;
};

}  // namespace heatherwick

#endif  // SOURCE_LOAD_SIMULATION_H_
