// Orders the requests of a group that wait, and counts the service that each
// caller received.

#ifndef SOURCE_DECISION_QUEUE_POLICY_H_
#define SOURCE_DECISION_QUEUE_POLICY_H_

#include <cstdint>

#include "Source/base/types.h"
#include "Source/decision/pending_request.h"
#include "absl/container/flat_hash_map.h"
#include "absl/functional/function_ref.h"
#include "absl/time/time.h"

namespace heatherwick {

// Whether a request can start now and, if not, which others cannot either.
enum class StartAnswer {
  kStart,
  kNotThisRequest,
  kNotThisKind,  // Nor another of the same class, length and effect.
  kNotThisLane,
};

// Work that is expected to run before a request, in slot time.
struct WorkAhead {
  absl::Duration own;    // Of the request's caller.
  absl::Duration total;  // Of all callers.
  // By the rate at which requests of this caller and class were served
  // recently; zero when there is no such experience.
  absl::Duration observed_wait;
  double own_fraction = 1.0;    // Of the lane's slots that the caller is due.
  uint32_t own_queued = 0;      // Requests of the caller in any lane.
  double share_fraction = 1.0;  // Of all callers' shares, active or not.
};

class QueuePolicy {
 public:
  static constexpr const char* kPluginKind = "queue policy";

  using CanStart = absl::FunctionRef<StartAnswer(const PendingRequest&)>;
  using Shares = absl::flat_hash_map<CallerName, uint32_t>;

  virtual ~QueuePolicy() = default;

  virtual void OnShares(const Shares& shares) = 0;

  // The request stays the caller's property and must be removed before it is
  // destroyed.
  virtual void Push(PendingRequest* pending) = 0;
  virtual void Remove(PendingRequest* pending) = 0;

  // Returns the first request in the policy's order for which `can_start`
  // answers kStart, or null. Does not remove it.
  virtual PendingRequest* Next(absl::Time now, CanStart can_start) = 0;

  // Adds slot time to the service of the request's caller. Negative when a
  // statement ran for less than was charged at its start.
  virtual void Charge(const PendingRequest& pending,
                      absl::Duration service) = 0;

  virtual WorkAhead AheadOf(const PendingRequest& pending,
                            absl::Time now) const = 0;

  // Requests that wait in the lane.
  virtual uint32_t Queued(Lane lane) const = 0;

  // How many of a target's slots long statements may hold together.
  virtual uint32_t SlotsForLongWork(uint32_t slots) const = 0;
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_QUEUE_POLICY_H_
