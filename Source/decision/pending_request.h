// A request inside the group scheduler, from its admission to its end.

#ifndef SOURCE_DECISION_PENDING_REQUEST_H_
#define SOURCE_DECISION_PENDING_REQUEST_H_

#include <cstdint>
#include <vector>

#include "Source/base/types.h"
#include "Source/decision/group_scheduler.h"
#include "absl/time/time.h"

namespace heatherwick {

// Which targets compete for a request: writes, transaction steps and current
// reads run at the primary only, aged reads mostly at replicas.
enum class Lane { kPrimary, kReplica };

inline constexpr size_t kLaneCount = 2;

struct DurationEstimate {
  absl::Duration mean;
  absl::Duration upper;  // Mean plus twice the mean deviation.
};

struct TargetRefusal {
  TargetId target;
  absl::Time at;
};

struct PendingRequest {
  ScheduledRequest request;
  uint64_t sequence = 0;  // Order of arrival; kept when requeued.
  absl::Time arrived;
  // A start after this time cannot end by the deadline.
  absl::Time latest_start;
  DurationEstimate estimate;
  bool is_long = false;  // Expected to run many times longer than the rest.
  // Of a new shape: may turn out to be long, and is kept from the last slot
  // for short work as if it were.
  bool may_be_long = false;
  // Targets that refused the request; at most one for each target.
  std::vector<TargetRefusal> refusals;

  void OnRefusedBy(const TargetId& target, absl::Time now);
  // The target refused the request and has reported nothing new since.
  bool IsRefusedBy(const TargetId& target, absl::Time last_report) const;

  // A statement of a transaction that is open already.
  bool IsStep() const {
    return request.transaction != 0 && !request.begins_transaction;
  }
  Lane GetLane() const {
    return request.request_class == RequestClass::kAgedRead ? Lane::kReplica
                                                            : Lane::kPrimary;
  }
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_PENDING_REQUEST_H_
