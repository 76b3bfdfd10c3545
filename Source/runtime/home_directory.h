// The homes that this instance runs, by group. The home of a group is the
// instance that owns the group's queue.

#ifndef SOURCE_RUNTIME_HOME_DIRECTORY_H_
#define SOURCE_RUNTIME_HOME_DIRECTORY_H_

#include <atomic>
#include <memory>
#include <vector>

#include "Source/kernel/sharded_map.h"
#include "Source/runtime/cluster_view.h"
#include "Source/runtime/group_home.h"

namespace heatherwick {

class HomeDirectory {
 public:
  // The arguments must outlive the directory.
  HomeDirectory(const HomeContext* context,
                const SheetSource* sheets,
                const MemberSource* members);

  // Returns the group's home and creates it if there is none. Returns null if
  // the group is not in the sheet.
  std::shared_ptr<GroupHome> FindOrCreate(const GroupName& group);
  std::shared_ptr<GroupHome> Find(const GroupName& group) const;

  using Ranking = std::shared_ptr<const std::vector<MemberInfo>>;

  // Returns the instances that may serve the group, the home first. The result
  // is never null, but empty if the group is not in the sheet. Members outside
  // the group's region are candidates only if the region has no member that is
  // not suspected.
  Ranking Candidates(const GroupName& group) const;

  // After a change of the sheet or of the membership, passes the sheet to all
  // homes and creates the homes of the groups whose first candidate is this
  // instance. On every call, closes unused homes. A home is unused if it has no
  // unfinished requests and its group either is not in the sheet, or has
  // another instance as its first candidate and the home has not been used for
  // a while. Does nothing before the first sheet.
  void Reconcile();
  void Tick();

  // A draining instance accepts no new requests, but continues the open
  // transactions.
  void StartDraining() { m_draining = true; }
  bool Draining() const { return m_draining; }
  // Returns the number of requests and transactions that have not ended.
  size_t CountUnfinished() const;
  // Closes all homes. Returns once no gRPC callback uses a home any more, or at
  // `deadline`.
  void CloseAll(absl::Time deadline);

 private:
  using MemberList = std::shared_ptr<const std::vector<MemberInfo>>;

  // A ranking and the inputs that it was computed from. The time to compute one
  // is proportional to the number of members in the region, which is too much
  // for each request.
  struct CachedRanking {
    MemberList members;
    uint64_t sheet_version = 0;
    Ranking ranking;
  };

  bool IsFirstCandidate(const GroupName& group) const;
  void CreateMissingHomes(const SheetSnapshot& snapshot);
  void CloseUnusedHomes(const SheetSnapshot& snapshot);

  const HomeContext* const m_context;
  const SheetSource* const m_sheets;
  const MemberSource* const m_members;
  std::atomic<bool> m_draining{false};
  ShardedMap<GroupName, GroupHome> m_homes;
  mutable ShardedMap<GroupName, CachedRanking> m_rankings;
  // The inputs that Reconcile applied last. Used only by its thread.
  MemberList m_applied_members;
  uint64_t m_applied_sheet_version = 0;
};

}  // namespace heatherwick

#endif  // SOURCE_RUNTIME_HOME_DIRECTORY_H_
