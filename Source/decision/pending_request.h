// A request in the group scheduler, from its arrival to its end.

#ifndef SOURCE_DECISION_PENDING_REQUEST_H_
#define SOURCE_DECISION_PENDING_REQUEST_H_

#include <cstdint>
#include <vector>

#include "Source/base/types.h"
#include "Source/decision/group_scheduler.h"
#include "absl/time/time.h"

namespace heatherwick {

// The targets that a request can use. Writes, transaction steps and reads of
// current data run only at the primary, reads with bounded staleness mostly at
// replicas.
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
  // A request that starts after this time cannot end by its deadline.
  absl::Time latest_start;
  DurationEstimate estimate;
  bool is_long = false;  // Expected to run many times longer than others.
  // Set for long requests and for those of a new shape, which may turn out to
  // be long. Such a request may not use the slots that are reserved for short
  // statements.
  bool may_be_long = false;
  // Refusals by targets; at most one entry for each target.
  std::vector<TargetRefusal> refusals;

  void OnRefusedBy(const TargetId& target, absl::Time now);
  // Whether the target refused the request and has sent no report since.
  bool IsRefusedBy(const TargetId& target, absl::Time last_report) const;

  // Whether this is a statement of a transaction that is already open.
  bool IsStep() const {
    return request.transaction != 0 && !request.begins_transaction;
  }
  Lane GetLane() const {
    return request.request_class == RequestClass::kBoundedStalenessRead
               ? Lane::kReplica
               : Lane::kPrimary;
  }
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_PENDING_REQUEST_H_
