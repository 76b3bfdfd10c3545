// Access of the leadership to the groups and their targets.

#ifndef SOURCE_GATEWAY_GROUP_ACCESS_H_
#define SOURCE_GATEWAY_GROUP_ACCESS_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "Source/base/types.h"
#include "Source/gateway/configuration.h"
#include "Source/gateway/statement.h"
#include "absl/time/time.h"

namespace heatherwick {

class GroupAccess {
 public:
  virtual ~GroupAccess() = default;

  virtual std::vector<GroupName> Groups() const = 0;
  virtual std::vector<ListedTarget> Targets(const GroupName& group) const = 0;
  // Time of the target's last answer, or the infinite past if it never
  // answered.
  virtual absl::Time LastContact(const GroupName& group,
                                 const TargetId& target) const = 0;
  virtual void QueryStatus(
      const GroupName& group,
      const TargetId& target,
      absl::Duration timeout,
      std::function<void(std::optional<TargetStatus>)> done) = 0;
  // Number of replicas that receive a commit before it is acknowledged.
  virtual uint32_t SyncReplicas(const GroupName& group) const = 0;
  // Ends all use of the group's primary and calls `done` once this instance has
  // nothing in flight there. In a planned change, open transactions get some
  // time to finish.
  virtual void Quiesce(const GroupName& group,
                       bool planned,
                       std::function<void()> done) = 0;
  virtual void OnLeaderChanged(const GroupName& group) = 0;
};

}  // namespace heatherwick

#endif  // SOURCE_GATEWAY_GROUP_ACCESS_H_
