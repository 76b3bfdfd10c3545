// The homes that this instance runs, by group.

#ifndef SOURCE_RUNTIME_HOME_DIRECTORY_H_
#define SOURCE_RUNTIME_HOME_DIRECTORY_H_

#include <atomic>
#include <memory>
#include <vector>

#include "Source/kernel/shard_map.h"
#include "Source/runtime/cluster_view.h"
#include "Source/runtime/group_home.h"

namespace heatherwick {

class HomeDirectory {
 public:
  // Both must outlive the directory.
  HomeDirectory(const HomeContext* context,
                const SheetSource* sheets,
                const MemberSource* members);

  // Returns the group's home, created when there is none; null when the
  // sheet lacks the group.
  std::shared_ptr<GroupHome> FindOrCreate(const GroupName& group);
  std::shared_ptr<GroupHome> Find(const GroupName& group) const;

  using Ranking = std::shared_ptr<const std::vector<MemberInfo>>;

  // The instances that may serve the group, the home first; never null, but
  // empty when the sheet lacks the group. Members of the group's region come
  // before all others.
  Ranking Candidates(const GroupName& group) const;

  // Applies a new sheet or membership, and does nothing else when there is
  // none: creates the homes of the groups that
  // this instance is first for, and closes those that it has not used for a
  // while and is not first for.
  void Reconcile();
  void Tick();

  // A draining instance takes no new work; open transactions go on.
  void StartDraining() { m_draining = true; }
  bool Draining() const { return m_draining; }
  // Requests and transactions that have not ended.
  size_t Active() const;
  // Returns once no callback of gRPC uses a home any more, or at `deadline`.
  void CloseAll(absl::Time deadline);

 private:
  using MemberList = std::shared_ptr<const std::vector<MemberInfo>>;

  // A ranking and what it was computed from. Computing one takes time in
  // proportion to the region's members, which is too much for each request.
  struct CachedRanking {
    MemberList members;
    uint64_t sheet_version = 0;
    Ranking ranking;
  };

  bool IsFirst(const GroupName& group) const;
  void CreateWantedHomes(const SheetSnapshot& snapshot);
  void CloseUnwantedHomes(const SheetSnapshot& snapshot);

  const HomeContext* const m_context;
  const SheetSource* const m_sheets;
  const MemberSource* const m_members;
  std::atomic<bool> m_draining{false};
  ShardMap<GroupName, GroupHome> m_homes;
  mutable ShardMap<GroupName, CachedRanking> m_rankings;
  // What Reconcile has applied; only its thread uses them.
  MemberList m_applied_members;
  uint64_t m_applied_sheet = 0;
};

}  // namespace heatherwick

#endif  // SOURCE_RUNTIME_HOME_DIRECTORY_H_
