// Keeps a record in the store of the targets that may hold acknowledged commits
// of each group with synchronous replicas. An instance that has just started
// learns from it which targets have left the list.
//
// A target is added as soon as an instance sees it listed, and removed once
// `sync_replicas` listed replicas have received all that the primary had when
// the target was already gone. Until then the target may be the only one that
// holds a commit besides the primary.

#ifndef SOURCE_GATEWAY_REPLICA_RECORDER_H_
#define SOURCE_GATEWAY_REPLICA_RECORDER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Source/base/types.h"
#include "Source/decision/replica_set.h"
#include "Source/gateway/event_loop.h"
#include "Source/gateway/group_access.h"
#include "Source/gateway/leadership_view.h"
#include "Source/gateway/replica_tracker.h"
#include "Source/gateway/row_store.h"
#include "absl/time/time.h"

namespace heatherwick {

class ReplicaRecorder {
 public:
  // Records are written to `table`. For `log_wait_limit` see ReplicaTracker.
  ReplicaRecorder(EventLoop* loop,
                  RowStore* store,
                  GroupAccess* groups,
                  const LeadershipView* view,
                  std::string table,
                  absl::Duration log_wait_limit);
  ~ReplicaRecorder();

  // Follows the list of targets and the record. Must be called regularly; does
  // nothing for a group without synchronous replicas.
  void Update(const GroupName& group);
  // Writes the record if it has to change. Must be called regularly while this
  // instance has a lease. The instance acts once `stagger` has passed, so that
  // another one can act before it.
  void Maintain(const GroupName& group, absl::Duration stagger);

  // Must be called for each poll of the store that fails.
  void OnStoreUnavailable();
  // ReplicaTracker::IsOfListedRun(); true for a group without synchronous
  // replicas.
  bool IsOfListedRun(const GroupName& group,
                     const TargetId& id,
                     const TargetStatus& status);

  // As of the last call of Update().
  const ReplicaTracker& Tracker(const GroupName& group) const;

 private:
  // Shows that the replicas have received all that departed runs may hold.
  struct CatchUp {
    std::vector<TargetRun> departed;
    uint64_t leader_version = 0;  // Of the leader row.
    // End of the primary's log when the runs had departed; nullopt until the
    // primary has answered.
    std::optional<Position> required;
    std::set<TargetId> caught_up;  // Replicas that have received that.
    size_t unanswered = 0;
  };
  struct GroupState {
    explicit GroupState(absl::Duration log_wait_limit)
        : tracker(log_wait_limit) {}

    ReplicaTracker tracker;
    absl::Time act_at = absl::InfiniteFuture();
    bool writing = false;
    std::shared_ptr<CatchUp> catch_up;
  };

  GroupState& StateOf(const GroupName& group);
  // Continues the check, and writes the record without the departed runs if it
  // has succeeded.
  void CheckCatchUp(const GroupName& group, GroupState* state);
  void AskTargets(const GroupName& group, GroupState* state);
  void OnStatus(const GroupName& group,
                const std::shared_ptr<CatchUp>& catch_up,
                const TargetId& id,
                const std::optional<TargetStatus>& status);
  void OnAllAnswered(const GroupName& group,
                     const std::shared_ptr<CatchUp>& catch_up);
  // With a leader row's version, the record is only written if that row has not
  // changed.
  void Write(const GroupName& group,
             GroupState* state,
             const std::vector<TargetRun>& without,
             std::optional<uint64_t> leader_version);

  EventLoop* const m_loop;
  RowStore* const m_store;
  GroupAccess* const m_groups;
  const LeadershipView* const m_view;
  const std::string m_table;
  const absl::Duration m_log_wait_limit;
  std::map<GroupName, GroupState> m_states;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace heatherwick

#endif  // SOURCE_GATEWAY_REPLICA_RECORDER_H_
