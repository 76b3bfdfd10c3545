// Simulates the home of one group (the instance that owns the group's queue),
// its targets and its callers in virtual time. Drives the real GroupScheduler,
// FailoverController and CommitTracker.

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

// Makes a replica lag behind the primary for a limited time.
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

// kLate: done after the deadline. kOpen: not finished when the run ended.
enum class StatementOutcome { kDone, kLate, kRefused, kUnknown, kOpen };

// Result of one statement of the workload. Times count from the start of the
// run.
struct StatementRecord {
  RequestClass request_class = RequestClass::kWrite;
  uint32_t caller = 0;
  bool is_long = false;
  StatementOutcome outcome = StatementOutcome::kOpen;
  absl::Duration arrived;
  absl::Duration started = absl::InfiniteDuration();  // Latest start.
  absl::Duration ended = absl::InfiniteDuration();
  absl::Duration occupancy;  // Time for which its last run occupied a slot.
  // If the statement was not done: estimated slot time of the statement and of
  // the statements that would have followed in its transaction.
  absl::Duration missed_slot_time;
  bool at_primary = false;
  uint32_t starts = 0;
  // Whether this is a write that was refused while the primary ran a
  // bounded-staleness read.
  bool refused_during_aged_read = false;
};

struct SimulationResult {
  std::vector<StatementRecord> records;
  uint32_t max_concurrent_statements = 0;  // At one target.
};

class Simulation {
 public:
  // `plan` must outlive the simulation.
  Simulation(const Experiment& experiment,
             const std::vector<PlannedRequest>& plan,
             SimulationOptions options);

  SimulationResult Run();

 private:
  // A statement that waits, runs or awaits the confirmation of its position.
  struct ActiveStatement {
    const PlannedRequest* planned = nullptr;
    size_t statement = 0;  // Index within the request.
    size_t record = 0;     // Index in m_records.
    ScheduledRequest request;
    absl::Time started;
    ConnectionId connection = 0;
    size_t target = 0;
    bool running = false;
    Position position;  // Set while the statement awaits its confirmation.
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
  void ContinueTransaction(const ActiveStatement& active, bool open);
  Position& SessionOf(const PlannedRequest& planned);

  // Apply the actions that the decision classes return.
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
  void EndStatement(const ActiveStatement& active, StatementOutcome outcome);
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
  std::optional<size_t> m_primary;  // The primary that the home knows.

  std::vector<SchedulerAction> m_scheduler_actions;
  std::vector<FailoverAction> m_failover_actions;
  std::vector<CommitAction> m_commit_actions;

  RequestId m_last_request = 0;
  TransactionId m_last_transaction = 0;
  absl::flat_hash_map<RequestId, ActiveStatement> m_active_statements;
  absl::flat_hash_map<RequestId, ActiveStatement> m_unconfirmed;
  // Connections of each target that are open or being opened.
  std::vector<std::vector<ConnectionId>> m_connections;
  std::map<uint64_t, Position> m_sessions;
  std::vector<StatementRecord> m_records;
};

}  // namespace heatherwick

#endif  // SOURCE_LOAD_SIMULATION_H_
