// Calls between an instance that lends connections to targets and those that
// borrow them. See lender_plan.h for who lends.

#ifndef SOURCE_GATEWAY_LENDING_H_
#define SOURCE_GATEWAY_LENDING_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "Source/base/error.h"
#include "Source/base/types.h"
#include "Source/decision/target_load.h"
#include "Source/gateway/target_link.h"
#include "absl/time/time.h"

namespace heatherwick {

// Runs `commands` one after the other, until one fails.
struct RunQuery {
  GroupName group;
  TargetId target;
  // The connection has to be one of this workspace; empty if of none.
  WorkspaceName workspace;
  // The loan that holds an open transaction; 0 asks for a connection.
  uint64_t loan = 0;
  std::vector<TargetCommand> commands;
  // Identifies the query in Cancel(); different for all queries of all
  // instances.
  uint64_t request = 0;
  // The terms on which the request waits for a connection, as of when it is
  // sent. Nothing from a borrower of an earlier version.
  struct Terms {
    int priority = 0;
    absl::Duration objective;  // Time left until the objective is missed.
    absl::Duration wait;       // The longest wait that is of use.
  };
  std::optional<Terms> terms;
};

enum class RunOutcome {
  kDone,            // The commands up to the first that failed have run.
  kConnectionLost,  // The command after the replies may have run.
  kRefused,         // No command has run.
  kNoConnection,    // As kRefused, because no connection was free in time.
};

struct RunResponse {
  RunOutcome outcome = RunOutcome::kDone;
  std::vector<Reply> replies;
  uint64_t loan = 0;  // Set while a transaction is open on the connection.
  std::string cause;  // Empty if the outcome is kDone.
  // Set with kNoConnection if the request clearly cannot be served in the time
  // that it may wait: when the caller should return.
  std::optional<absl::Duration> retry_after;
  // What the lender knows of the target, whatever the outcome. Nothing from a
  // lender of an earlier version.
  std::optional<TargetLoad> load;
};

// The newest position of a group's primary that a lender knows.
struct LenderPosition {
  uint64_t epoch = 0;  // Of the leader row in use; 0 if no position is known.
  Position position;
  // The position includes every commit that was acknowledged this long before
  // the answer, or earlier.
  absl::Duration age;
};

class LendingTransport {
 public:
  virtual ~LendingTransport() = default;

  // Fails with kNotSent if there is no connection to the address; nothing has
  // run then. After other errors the commands may have run.
  virtual void Run(const std::string& address,
                   const RunQuery& query,
                   absl::Duration timeout,
                   std::function<void(Result<RunResponse>)> done) = 0;
  // Ends a loan; an open transaction is rolled back.
  virtual void Return(const std::string& address, uint64_t loan) = 0;
  // Withdraws a query that still waits for a connection, so that a target does
  // no work whose result nobody awaits.
  virtual void Cancel(const std::string& address, uint64_t request) = 0;
  virtual void QueryPosition(
      const std::string& address,
      const GroupName& group,
      absl::Duration timeout,
      std::function<void(Result<LenderPosition>)> done) = 0;
};

}  // namespace heatherwick

#endif  // SOURCE_GATEWAY_LENDING_H_
