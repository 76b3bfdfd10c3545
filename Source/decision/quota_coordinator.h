// Grants operations from the shards of quotas that this instance coordinates.
//
// The bound on a workspace's operations holds although members disagree for a
// while about who coordinates a shard: an instance uses the smallest share that
// it had in any view of the members which it held during the last lease. An
// instance with a valid lease has a view that is at most a lease old, so that
// the old coordinator of a shard has stopped when the new one begins.
//
// Answers the load in which one workspace sends many times its usual, to all
// instances at once, while instances die, freeze, join or are cut off.

#ifndef SOURCE_DECISION_QUOTA_COORDINATOR_H_
#define SOURCE_DECISION_QUOTA_COORDINATOR_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "Source/base/types.h"
#include "Source/decision/fleet_member.h"
#include "Source/decision/quota_messages.h"
#include "Source/decision/workspace_quota.h"
#include "absl/time/time.h"

namespace heatherwick {

class QuotaCoordinator {
 public:
  // `lease` is at least the time for which an instance may use a view of the
  // members. Instances compare only their own clock's times.
  QuotaCoordinator(InstanceId self,
                   absl::Duration lease,
                   QuotaTolerance tolerance);

  // The members as read now. `restarted` is set with the first view of a
  // process if it contains this instance's row of an earlier run, which then
  // was the coordinator of the same shards, and has ended.
  void OnMembers(std::vector<FleetMember> members,
                 bool restarted,
                 absl::Time now);
  // Replaces the quotas. Workspaces without one are not limited and not asked
  // for.
  void OnQuotas(std::map<WorkspaceName, WorkspaceQuota> quotas);

  // `lease_valid` tells whether this instance may use its view now.
  QuotaResponse OnQuery(const QuotaQuery& query,
                        bool lease_valid,
                        absl::Time now);

  // Operations that were granted and refused.
  uint64_t Granted() const { return m_granted; }
  uint64_t Refused() const { return m_refused; }

 private:
  // Members in use from `since` until the next view replaced them.
  struct View {
    uint64_t number = 0;
    absl::Time since;
    std::vector<FleetMember> members;
  };
  struct Share {
    uint64_t view = 0;
    uint32_t shard = 0;
    double fraction = 0;  // 0 if this instance coordinates no shard.
  };
  struct Bucket {
    std::deque<Share> shares;  // For the newest views, in their order.
    bool started = false;
    double tokens = 0;
    absl::Time updated;
    double recent_refusals = 0;  // Decays with kRefusalMemory.
  };

  void DropOldViews(absl::Time now);
  Share ShareIn(const WorkspaceName& workspace, const View& view) const;
  // The smallest share in the views of the last lease; 0 if there is none.
  double ShareInForce(const WorkspaceName& workspace, Bucket* bucket) const;
  // Given that all views of the last lease have a share: a time since which it
  // has been in force.
  absl::Time InForceSince() const;
  double Depth(const WorkspaceQuota& quota, double share) const;
  // Operations beyond the quota that are permitted in a window.
  double Overshoot(const WorkspaceQuota& quota) const;
  void Refill(const WorkspaceQuota& quota,
              double share,
              Bucket* bucket,
              absl::Time now);

  const InstanceId m_self;
  const absl::Duration m_lease;
  const QuotaTolerance m_tolerance;
  // In order of time; the last is in use. Older ones are kept for a lease after
  // they were replaced.
  std::deque<View> m_views;
  uint64_t m_next_view = 1;
  bool m_restarted = false;
  absl::Time m_first_view_at = absl::InfiniteFuture();
  std::map<WorkspaceName, WorkspaceQuota> m_quotas;
  std::map<WorkspaceName, Bucket> m_buckets;
  uint64_t m_granted = 0;
  uint64_t m_refused = 0;
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_QUOTA_COORDINATOR_H_
