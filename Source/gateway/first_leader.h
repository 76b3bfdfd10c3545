// Creates the leader row of a group that has none: at the group's first start,
// or after the store has returned from a copy. See first_leader_choice.h and
// docs/design/store-returns.md.

#ifndef SOURCE_GATEWAY_FIRST_LEADER_H_
#define SOURCE_GATEWAY_FIRST_LEADER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Source/base/types.h"
#include "Source/decision/first_leader_choice.h"
#include "Source/decision/replica_set.h"
#include "Source/gateway/event_loop.h"
#include "Source/gateway/group_access.h"
#include "Source/gateway/leadership_view.h"
#include "Source/gateway/row_store.h"
#include "absl/time/time.h"

namespace heatherwick {

class FirstLeader {
 public:
  // Starts a change of the group's primary. `claim` takes the place of the
  // missing leader row.
  using StartChange =
      std::function<void(const GroupName& group, const GroupLeader& claim)>;
  // Returns the runs that may hold acknowledged commits and are not listed.
  using UnlistedHolders =
      std::function<std::vector<TargetRun>(const GroupName& group)>;

  // Leader rows are written to `table`.
  FirstLeader(InstanceId self,
              uint64_t incarnation,
              EventLoop* loop,
              RowStore* store,
              GroupAccess* groups,
              const LeadershipView* view,
              std::string table,
              UnlistedHolders unlisted_holders,
              StartChange start_change);
  ~FirstLeader();

  // Must be called periodically while the group has no leader row. The instance
  // acts once `stagger` has passed, so that another one can act before it.
  void Propose(const GroupName& group, absl::Duration stagger);
  // Forgets what was found in an earlier era of the store.
  void Reset();

 private:
  struct GroupState {
    absl::Time first_proposed;
    absl::Time act_at;
    bool asking = false;
    // These hold when the targets are asked. An order may take effect before a
    // target's answer is read.
    bool rows_may_be_lost = false;
    bool orders_ended = false;
    std::vector<TargetClaim> claims;
    size_t unanswered = 0;
    std::string logged;  // The last decision that was logged.
  };

  // Targets that may lead but are not listed, so that they cannot be asked.
  std::vector<TargetClaim> SilentClaims(
      const GroupName& group,
      const std::vector<ListedTarget>& listed) const;
  void AskTargets(const GroupName& group,
                  const std::shared_ptr<GroupState>& state);
  void Decide(const GroupName& group, const std::shared_ptr<GroupState>& state);
  void Publish(const GroupName& group, const GroupLeader& leader);

  const InstanceId m_self;
  const uint64_t m_incarnation;
  EventLoop* const m_loop;
  RowStore* const m_store;
  GroupAccess* const m_groups;
  const LeadershipView* const m_view;
  const std::string m_table;
  const UnlistedHolders m_unlisted_holders;
  const StartChange m_start_change;
  // Calls in flight keep the states of an earlier era.
  std::map<GroupName, std::shared_ptr<GroupState>> m_states;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace heatherwick

#endif  // SOURCE_GATEWAY_FIRST_LEADER_H_
