// The limit on a workspace's operations, and how exactly it has to hold.

#ifndef SOURCE_DECISION_WORKSPACE_QUOTA_H_
#define SOURCE_DECISION_WORKSPACE_QUOTA_H_

#include "absl/time/time.h"

namespace heatherwick {

// Operations of a workspace over all instances. A single statement and a
// transaction count one each.
struct WorkspaceQuota {
  double rate_per_s = 0;
  double burst = 0;

  bool operator==(const WorkspaceQuota&) const = default;
};

// In each window of `window`, a workspace's operations may be at most
// (rate_per_s * window + burst) * (1 + overshoot) + slack.
struct QuotaTolerance {
  absl::Duration window = absl::Seconds(5);
  double overshoot = 0;
  double slack = 0;
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_WORKSPACE_QUOTA_H_
