// Creates, finds and removes the homes of this instance.

#include "Source/runtime/home_directory.h"
#include "Source/base/steady_clock.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include "Source/decision/placement.h"
#include "absl/time/clock.h"
#include "glog/logging.h"

namespace heatherwick {

namespace {

// The first candidate and two successors. If all of them fail, waiting for the
// membership to become stable is faster than trying further instances.
constexpr size_t kMaxCandidates = 3;
// A home whose group has another instance as its first candidate keeps its
// connections for this long after its last use, because instances with an older
// membership view may still send requests to it.
constexpr absl::Duration kIdleTimeout = absl::Seconds(2);
constexpr absl::Duration kClosePollPeriod = absl::Milliseconds(1);

// Returns the members of `region` that are not suspected. If the region has no
// such member, returns all members of all regions.
std::vector<const MemberInfo*> MembersOfRegion(
    const std::vector<MemberInfo>& members,
    const std::string& region) {
  std::vector<const MemberInfo*> eligible;
  for (const MemberInfo& member : members) {
    if (member.region == region && !member.suspect) {
      eligible.push_back(&member);
    }
  }
  if (eligible.empty()) {
    for (const MemberInfo& member : members) {
      eligible.push_back(&member);
    }
  }
  return eligible;
}

std::vector<MemberInfo> RankMembers(const GroupName& group,
                                    const std::string& region,
                                    const std::vector<MemberInfo>& members) {
  const std::vector<const MemberInfo*> eligible =
      MembersOfRegion(members, region);
  std::vector<PlacementCandidate> candidates;
  candidates.reserve(eligible.size());
  for (const MemberInfo* member : eligible) {
    candidates.push_back({member->id, member->data_centre});
  }
  std::vector<MemberInfo> ranked;
  for (const size_t index : RankCandidates(group, candidates, kMaxCandidates)) {
    ranked.push_back(*eligible[index]);
  }
  return ranked;
}

}  // namespace

HomeDirectory::HomeDirectory(const HomeContext* context,
                             const SheetSource* sheets,
                             const MemberSource* members)
    : m_context(context), m_sheets(sheets), m_members(members) {}

std::shared_ptr<GroupHome> HomeDirectory::FindOrCreate(const GroupName& group) {
  const SheetSnapshot snapshot = m_sheets->Current();
  if (snapshot.sheet == nullptr || !snapshot.sheet->groups.contains(group)) {
    return nullptr;
  }
  bool created = false;
  auto home = m_homes.FindOrCreate(group, [&] {
    auto result = GroupHome::Create(m_context, group);
    created = Ok(result);
    if (!created) {
      LOG(ERROR) << ErrorOf(result).Describe();
      return std::shared_ptr<GroupHome>();
    }
    return ValueOf(result);
  });
  if (created) {
    m_context->decision_log->Write(
        {"open_home", "requested", {{"group", group}}}, SteadyNow());
    home->OnSheet(snapshot);
  }
  return home;
}

std::shared_ptr<GroupHome> HomeDirectory::Find(const GroupName& group) const {
  return m_homes.Find(group);
}

HomeDirectory::Ranking HomeDirectory::Candidates(const GroupName& group) const {
  const SheetSnapshot snapshot = m_sheets->Current();
  const MemberList members = m_members->Members();
  const auto cached = m_rankings.Find(group);
  if (cached != nullptr && cached->members == members &&
      cached->sheet_version == snapshot.version) {
    return cached->ranking;
  }
  const auto row = snapshot.sheet == nullptr
                       ? std::map<GroupName, GroupRow>::const_iterator()
                       : snapshot.sheet->groups.find(group);
  if (snapshot.sheet == nullptr || row == snapshot.sheet->groups.end()) {
    return std::make_shared<const std::vector<MemberInfo>>();
  }
  auto ranking = std::make_shared<const std::vector<MemberInfo>>(
      RankMembers(group, row->second.region, *members));
  auto entry = std::make_shared<CachedRanking>();
  *entry = {members, snapshot.version, ranking};
  m_rankings.Store(group, std::move(entry));
  return ranking;
}

bool HomeDirectory::IsFirstCandidate(const GroupName& group) const {
  const Ranking candidates = Candidates(group);
  return !candidates->empty() && candidates->front().id == m_context->self.id;
}

void HomeDirectory::Reconcile() {
  const SheetSnapshot snapshot = m_sheets->Current();
  const MemberList members = m_members->Members();
  if (snapshot.sheet == nullptr) {
    return;
  }
  if (members != m_applied_members ||
      snapshot.version != m_applied_sheet_version) {
    m_applied_members = members;
    m_applied_sheet_version = snapshot.version;
    CreateMissingHomes(snapshot);
    for (const auto& [group, home] : m_homes.All()) {
      home->OnSheet(snapshot);
    }
  }
  CloseUnusedHomes(snapshot);
}

void HomeDirectory::CreateMissingHomes(const SheetSnapshot& snapshot) {
  if (m_draining) {
    return;
  }
  std::set<std::string> live_regions;
  for (const MemberInfo& member : *m_applied_members) {
    live_regions.insert(member.region);
  }
  for (const auto& [group, row] : snapshot.sheet->groups) {
    // Ranking all groups on each membership change in any region would exceed
    // the processor time allowed for control tasks at the planned cluster size.
    const bool other_region = row.region != m_context->self.region &&
                              live_regions.contains(row.region);
    if (!other_region && m_homes.Find(group) == nullptr &&
        IsFirstCandidate(group)) {
      FindOrCreate(group);
    }
  }
}

void HomeDirectory::CloseUnusedHomes(const SheetSnapshot& snapshot) {
  const absl::Time now = SteadyNow();
  for (const auto& [group, home] : m_homes.All()) {
    const bool needed =
        snapshot.sheet->groups.contains(group) &&
        (IsFirstCandidate(group) || now - home->LastUsed() < kIdleTimeout);
    if (!needed && home->CountUnfinished() == 0) {
      m_context->decision_log->Write(
          {"close_home", "another_instance_is_first", {{"group", group}}}, now);
      home->Close();
      m_homes.Remove(group);
    }
  }
}

void HomeDirectory::Tick() {
  for (const auto& [group, home] : m_homes.All()) {
    home->Tick();
  }
}

size_t HomeDirectory::CountUnfinished() const {
  size_t active = 0;
  for (const auto& [group, home] : m_homes.All()) {
    active += home->CountUnfinished();
  }
  return active;
}

void HomeDirectory::CloseAll(absl::Time deadline) {
  std::vector<std::weak_ptr<GroupHome>> closing;
  for (const auto& [group, home] : m_homes.All()) {
    home->Close();
    closing.push_back(home);
    m_homes.Remove(group);
  }
  const auto in_use = [](const std::weak_ptr<GroupHome>& home) {
    return !home.expired();
  };
  while (SteadyNow() < deadline &&
         std::any_of(closing.begin(), closing.end(), in_use)) {
    absl::SleepFor(kClosePollPeriod);
  }
}

}  // namespace heatherwick
