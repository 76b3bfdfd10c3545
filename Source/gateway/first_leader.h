// Proposes the first primary of a group that has no leader row.

#ifndef SOURCE_GATEWAY_FIRST_LEADER_H_
#define SOURCE_GATEWAY_FIRST_LEADER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "Source/base/types.h"
#include "Source/gateway/event_loop.h"
#include "Source/gateway/group_access.h"
#include "Source/gateway/row_store.h"
#include "absl/time/time.h"

namespace heatherwick {

class FirstLeader {
 public:
  // Leader rows are written to `table`.
  FirstLeader(InstanceId self,
              uint64_t incarnation,
              EventLoop* loop,
              RowStore* store,
              GroupAccess* groups,
              std::string table);
  ~FirstLeader();

  // Must be called periodically while the group has no leader row. The instance
  // acts once `stagger` has passed since it first found a primary to propose.
  void Propose(const GroupName& group, absl::Duration stagger);

 private:
  void Publish(const GroupName& group, const TargetId& primary, uint64_t term);

  const InstanceId m_self;
  const uint64_t m_incarnation;
  EventLoop* const m_loop;
  RowStore* const m_store;
  GroupAccess* const m_groups;
  const std::string m_table;
  // When this instance's stagger began, by group.
  std::map<GroupName, absl::Time> m_stagger_start;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace heatherwick

#endif  // SOURCE_GATEWAY_FIRST_LEADER_H_
