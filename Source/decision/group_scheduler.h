// Decides which request of a group runs next, on which target and over which
// connection, and which requests are refused. It runs at the group's home
// and sees the whole demand of the group.
//
// Invariants:
// - A target never has more running statements than its slots, nor more
//   connections than this instance's share.
// - A connection carries one statement at a time; the connection of an open
//   transaction carries statements of that transaction only.
// - Every request ends with exactly one StartStatement that is not followed
//   by a requeue, or with one RefuseRequest.

#ifndef SOURCE_DECISION_GROUP_SCHEDULER_H_
#define SOURCE_DECISION_GROUP_SCHEDULER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Source/base/error.h"
#include "Source/base/types.h"
#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace heatherwick {

using ConnectionId = uint64_t;
using TransactionId = uint64_t;  // 0: none.

enum class RequestClass {
  kWrite,        // Writes and every step of a transaction.
  kCurrentRead,  // Reads that accept no age: the primary only.
  kAgedRead,     // Reads that accept age: any target that is fresh enough.
};

struct ScheduledRequest {
  RequestId id = 0;
  CallerName caller;
  RequestClass request_class = RequestClass::kWrite;
  absl::Duration max_age;  // kAgedRead
  Position min_position;   // The session's progress; checked by the target.
  uint64_t shape = 0;      // Stable hash of the statement without literals.
  absl::Time deadline;
  TransactionId transaction = 0;
  bool begins_transaction = false;  // `transaction` is its new id.
  bool ends_transaction = false;
};

struct TargetRules {
  TargetId id;
  DataCentreName data_centre;
  uint32_t slots = 0;
  uint32_t connections = 0;  // Share of this instance.
};

struct GroupRules {
  std::vector<TargetRules> targets;
  absl::flat_hash_map<CallerName, uint32_t> shares;
  DataCentreName own_data_centre;
};

// What a target's position covers. A lagging replica applies its log later
// than it receives it, and reads see only what is applied.
enum class PositionKind { kReceived, kApplied };

struct TargetHealth {
  bool reachable = false;
  bool leaving = false;
  absl::Duration age;   // Zero at the primary.
  Position applied;     // End of the log that reads see.
  uint32_t queued = 0;  // Statements that wait inside the target.
};

// How a started statement ended.
enum class StatementEnd {
  kRan,      // It ran, with or without a fault of its own.
  kRefused,  // The target refused it before execution: requeue.
  kLost,     // The connection broke; it may have run.
};

struct FinishedStatement {
  RequestId request = 0;
  TargetId target;
  ConnectionId connection = 0;
  StatementEnd end = StatementEnd::kRan;
  absl::Duration ran_for;         // Time in a slot.
  bool connection_usable = true;  // False: it is closed already.
  bool transaction_open = false;
};

struct StartStatement {
  RequestId request = 0;
  TargetId target;
  ConnectionId connection = 0;
  uint64_t term = 0;  // The primary's, or 0 for a replica.
  absl::string_view reason;
};

struct RefuseRequest {
  RequestId request = 0;
  ErrorKind kind = ErrorKind::kOverloaded;
  absl::string_view reason;
};

struct OpenConnection {
  TargetId target;
  ConnectionId connection = 0;
  absl::string_view reason;
};

struct CloseConnection {
  TargetId target;
  ConnectionId connection = 0;
  absl::string_view reason;
};

using SchedulerAction = std::
    variant<StartStatement, RefuseRequest, OpenConnection, CloseConnection>;

struct SchedulerOptions {
  // Names of registered policies; see docs/design.md, section 3.
  std::string queue_policy = "fair_priority";
  std::string read_policy = "freshest_idle";
  std::string connection_policy = "ahead_of_need";
  std::string admission_policy = "deadline";
  uint32_t max_queued = 4096;  // Requests of the group that wait.
};

struct SchedulerStatistics {
  uint32_t queued = 0;
  uint32_t running = 0;
  uint32_t open_transactions = 0;
  uint32_t connections = 0;
};

class GroupScheduler {
 public:
  // Fails when a policy's name is not registered.
  static Result<std::unique_ptr<GroupScheduler>> Create(
      const SchedulerOptions& options);

  virtual ~GroupScheduler() = default;

  virtual void OnRules(const GroupRules& rules,
                       absl::Time now,
                       std::vector<SchedulerAction>* actions) = 0;
  // `primary` is empty while the group has none.
  virtual void OnPrimary(const std::optional<TargetId>& primary,
                         uint64_t term,
                         absl::Time now,
                         std::vector<SchedulerAction>* actions) = 0;
  virtual void OnTargetHealth(const TargetId& target,
                              const TargetHealth& health,
                              absl::Time now,
                              std::vector<SchedulerAction>* actions) = 0;
  // The target has shown between two health reports that its log reaches
  // `last`: in the reply of a read (applied) or of a wait for a position
  // (received). Reports are up to a status period old, which is long for a
  // session that reads its own write.
  virtual void OnTargetPosition(const TargetId& target,
                                PositionKind kind,
                                Position last,
                                absl::Time now) = 0;
  // Time that the confirmation of a write takes at present; a write that
  // cannot be confirmed by its deadline is refused.
  virtual void OnCommitDelay(absl::Duration delay) = 0;

  virtual void OnRequest(const ScheduledRequest& request,
                         absl::Time now,
                         std::vector<SchedulerAction>* actions) = 0;
  virtual void OnFinished(const FinishedStatement& finished,
                          absl::Time now,
                          std::vector<SchedulerAction>* actions) = 0;

  virtual void OnConnectionOpened(const TargetId& target,
                                  ConnectionId connection,
                                  absl::Time now,
                                  std::vector<SchedulerAction>* actions) = 0;
  // Also when opening failed. A transaction on it is lost.
  virtual void OnConnectionClosed(const TargetId& target,
                                  ConnectionId connection,
                                  absl::Time now,
                                  std::vector<SchedulerAction>* actions) = 0;
  // Closes the connection of a transaction that its caller has abandoned.
  virtual void AbandonTransaction(TransactionId transaction,
                                  absl::Time now,
                                  std::vector<SchedulerAction>* actions) = 0;
  virtual bool HasTransaction(TransactionId transaction) const = 0;

  // Call at least every 10 ms: expires deadlines and idle connections.
  virtual void OnTick(absl::Time now,
                      std::vector<SchedulerAction>* actions) = 0;

  virtual SchedulerStatistics Statistics() const = 0;
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_GROUP_SCHEDULER_H_
