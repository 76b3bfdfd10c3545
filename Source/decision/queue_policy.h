// Orders the waiting requests of a group, and accounts for the service that
// each caller has received.

#ifndef SOURCE_DECISION_QUEUE_POLICY_H_
#define SOURCE_DECISION_QUEUE_POLICY_H_

#include <cstdint>

#include "Source/base/types.h"
#include "Source/decision/pending_request.h"
#include "absl/container/flat_hash_map.h"
#include "absl/functional/function_ref.h"
#include "absl/time/time.h"

namespace heatherwick {

// Whether a request can start now and, if not, which other requests cannot
// start for the same reason.
enum class StartCheck {
  kCanStart,
  kRequestBlocked,  // Other requests may be able to start.
  // No request of the same kind can start. Requests are of the same kind if
  // they have the same class, are both long or both not long, and both begin a
  // transaction or both begin none.
  kKindBlocked,
  kLaneBlocked,  // No request of the same lane can start.
};

// Work that is expected to run before a request, in slot time.
struct WorkAhead {
  absl::Duration caller_work;  // Work of the request's caller.
  absl::Duration total_work;   // Work of all callers.
  // Wait that follows from the rate at which requests of this caller and class
  // were served recently; zero if that rate is unknown.
  absl::Duration observed_wait;
  // Part of the lane's slots due to the caller.
  double caller_slot_fraction = 1.0;
  uint32_t caller_queued = 0;  // Requests of the caller in all lanes.
  // The caller's share as a part of the shares of all callers, active or not.
  double caller_share_fraction = 1.0;
};

class QueuePolicy {
 public:
  static constexpr const char* kPluginKind = "queue policy";

  using CanStart = absl::FunctionRef<StartCheck(const PendingRequest&)>;
  using Shares = absl::flat_hash_map<CallerName, uint32_t>;

  virtual ~QueuePolicy() = default;

  virtual void OnShares(const Shares& shares) = 0;

  // Does not take ownership. The request must be removed before it is
  // destroyed.
  virtual void Push(PendingRequest* pending) = 0;
  virtual void Remove(PendingRequest* pending) = 0;

  // Returns the first request in the policy's order for which `can_start`
  // returns kCanStart, or null. Does not remove the request.
  virtual PendingRequest* Next(absl::Time now, CanStart can_start) = 0;

  // Adds slot time to the service that the request's caller has received.
  // `service` is negative if a statement ran for less time than was charged at
  // its start.
  virtual void Charge(const PendingRequest& pending,
                      absl::Duration service) = 0;

  virtual WorkAhead EstimateWorkAhead(const PendingRequest& pending,
                                      absl::Time now) const = 0;

  // Returns the number of requests that wait in the lane.
  virtual uint32_t Queued(Lane lane) const = 0;

  // Returns how many of a target's `slots` long statements may use at once.
  virtual uint32_t MaxSlotsForLongWork(uint32_t slots) const = 0;
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_QUEUE_POLICY_H_
