// Decides which request of a group runs next, on which target and over which
// connection, and which requests are refused. It runs at the group's home, the
// instance that owns the group's queue, and sees all requests of the group.
//
// Invariants:
// - No statement is started on a target that already runs as many statements as
//   it has slots, and no connection is opened beyond this instance's share of
//   the target's connections. The numbers can exceed these limits only for a
//   while after a new configuration has lowered a limit.
// - A connection carries one statement at a time; the connection of an open
//   transaction carries statements of that transaction only.
// - Every request ends either with exactly one StartStatement after which it is
//   not requeued, or with exactly one RefuseRequest.

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
using TransactionId = uint64_t;  // 0 means no transaction.

enum class RequestClass {
  kWrite,        // Writes, and every statement of a transaction.
  kCurrentRead,  // Reads of current data; only the primary can run them.
  kBoundedStalenessRead,  // Reads with bounded staleness; any target whose data
                          // is recent enough can run them.
};

struct ScheduledRequest {
  RequestId id = 0;
  CallerName caller;
  RequestClass request_class = RequestClass::kWrite;
  absl::Duration max_age;  // Only for kBoundedStalenessRead.
  // Position that the session has reached. The target that runs the request
  // checks that its own data includes this position.
  Position min_position;
  uint64_t shape = 0;  // Stable hash of the statement without its literals.
  absl::Time deadline;
  TransactionId transaction = 0;
  bool begins_transaction = false;  // `transaction` is the new id.
  bool ends_transaction = false;
};

struct TargetConfig {
  TargetId id;
  DataCentreName data_centre;
  uint32_t slots = 0;
  uint32_t connections = 0;  // This instance's share.
};

struct GroupConfig {
  std::vector<TargetConfig> targets;
  absl::flat_hash_map<CallerName, uint32_t> shares;
  DataCentreName own_data_centre;
};

// Whether a target's position refers to the log entries that it has received or
// to those that it has applied. A lagging replica applies entries some time
// after it receives them, and reads see only applied entries.
enum class PositionKind { kReceived, kApplied };

struct TargetHealth {
  bool reachable = false;
  bool leaving = false;
  absl::Duration age;   // Of the target's data. Zero at the primary.
  Position applied;     // End of the applied log, which reads see.
  uint32_t queued = 0;  // Statements that wait inside the target.
};

// How a started statement ended.
enum class StatementEnd {
  kRan,      // The target executed it, with success or with an error.
  kRefused,  // The target refused it before execution; it is requeued.
  kLost,     // The connection broke; the statement may have run.
};

struct FinishedStatement {
  RequestId request = 0;
  TargetId target;
  ConnectionId connection = 0;
  StatementEnd end = StatementEnd::kRan;
  absl::Duration ran_for;         // Time for which it occupied a slot.
  bool connection_usable = true;  // False if it is already closed.
  bool transaction_open = false;
};

struct StartStatement {
  RequestId request = 0;
  TargetId target;
  ConnectionId connection = 0;
  uint64_t term = 0;  // Term of the primary, or 0 for a replica.
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
  // Names of registered policies. See docs/design.md, section 3.
  std::string queue_policy = "fair_priority";
  std::string read_policy = "freshest_idle";
  std::string connection_policy = "ahead_of_need";
  std::string admission_policy = "deadline";
  uint32_t max_queued = 4096;  // Maximum number of waiting requests.
};

struct SchedulerStatistics {
  uint32_t queued = 0;
  uint32_t running = 0;
  uint32_t open_transactions = 0;
  uint32_t connections = 0;
};

class GroupScheduler {
 public:
  // Fails if the name of a policy is not registered.
  static Result<std::unique_ptr<GroupScheduler>> Create(
      const SchedulerOptions& options);

  virtual ~GroupScheduler() = default;

  virtual void OnConfig(const GroupConfig& config,
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
  // The target has shown, between two health reports, that its log reaches
  // `last`. A reply to a read shows an applied position, and a reply to a wait
  // for a position shows a received one. Health reports alone do not suffice:
  // they may be one status period old, which is a long time for a session that
  // reads its own write.
  virtual void OnTargetPosition(const TargetId& target,
                                PositionKind kind,
                                Position last,
                                absl::Time now) = 0;
  // Sets the time that the confirmation of a write takes at present. A write
  // that cannot be confirmed by its deadline is refused.
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
  // The connection was closed or could not be opened. A transaction on the
  // connection is lost.
  virtual void OnConnectionClosed(const TargetId& target,
                                  ConnectionId connection,
                                  absl::Time now,
                                  std::vector<SchedulerAction>* actions) = 0;
  // Ends a transaction that its caller has abandoned, and closes its
  // connection.
  virtual void AbandonTransaction(TransactionId transaction,
                                  absl::Time now,
                                  std::vector<SchedulerAction>* actions) = 0;
  virtual bool HasTransaction(TransactionId transaction) const = 0;

  // Refuses requests that have expired and closes idle connections. Must be
  // called at least every 10 ms.
  virtual void OnTick(absl::Time now,
                      std::vector<SchedulerAction>* actions) = 0;

  virtual SchedulerStatistics Statistics() const = 0;
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_GROUP_SCHEDULER_H_
