// Creation, lookup and removal of homes.

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

// The first candidate and two successors; beyond these, waiting for the
// membership to settle is faster than trying further instances.
constexpr size_t kCandidates = 3;
// A home that another instance is first for keeps its connections for this
// long, since requests may still arrive on older membership views.
constexpr absl::Duration kIdleLimit = absl::Seconds(2);
constexpr absl::Duration kClosePoll = absl::Milliseconds(1);

// Members of `region`, or all when it has none.
std::vector<const MemberInfo*> MembersOfRegion(
    const std::vector<MemberInfo>& members,
    const std::string& region) {
  std::vector<const MemberInfo*> chosen;
  for (const MemberInfo& member : members) {
    if (member.region == region && !member.suspect) {
      chosen.push_back(&member);
    }
  }
  if (chosen.empty()) {
    for (const MemberInfo& member : members) {
      chosen.push_back(&member);
    }
  }
  return chosen;
}

std::vector<MemberInfo> Rank(const GroupName& group,
                             const std::string& region,
                             const std::vector<MemberInfo>& members) {
  const std::vector<const MemberInfo*> chosen =
      MembersOfRegion(members, region);
  std::vector<PlacementCandidate> candidates;
  candidates.reserve(chosen.size());
  for (const MemberInfo* member : chosen) {
    candidates.push_back({member->id, member->data_centre});
  }
  std::vector<MemberInfo> ranked;
  for (const size_t index : RankCandidates(group, candidates, kCandidates)) {
    ranked.push_back(*chosen[index]);
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
      Rank(group, row->second.region, *members));
  auto entry = std::make_shared<CachedRanking>();
  *entry = {members, snapshot.version, ranking};
  m_rankings.Store(group, std::move(entry));
  return ranking;
}

bool HomeDirectory::IsFirst(const GroupName& group) const {
  const Ranking candidates = Candidates(group);
  return !candidates->empty() && candidates->front().id == m_context->self.id;
}

void HomeDirectory::Reconcile() {
  const SheetSnapshot snapshot = m_sheets->Current();
  const MemberList members = m_members->Members();
  if (snapshot.sheet == nullptr) {
    return;
  }
  if (members != m_applied_members || snapshot.version != m_applied_sheet) {
    m_applied_members = members;
    m_applied_sheet = snapshot.version;
    CreateWantedHomes(snapshot);
    for (const auto& [group, home] : m_homes.All()) {
      home->OnSheet(snapshot);
    }
  }
  CloseUnwantedHomes(snapshot);
}

void HomeDirectory::CreateWantedHomes(const SheetSnapshot& snapshot) {
  if (m_draining) {
    return;
  }
  std::set<std::string> live_regions;
  for (const MemberInfo& member : *m_applied_members) {
    live_regions.insert(member.region);
  }
  for (const auto& [group, row] : snapshot.sheet->groups) {
    // Ranking every group at every change in any region would exceed the
    // processor time that control may take at the target size.
    const bool other_region = row.region != m_context->self.region &&
                              live_regions.contains(row.region);
    if (!other_region && m_homes.Find(group) == nullptr && IsFirst(group)) {
      FindOrCreate(group);
    }
  }
}

void HomeDirectory::CloseUnwantedHomes(const SheetSnapshot& snapshot) {
  const absl::Time now = SteadyNow();
  for (const auto& [group, home] : m_homes.All()) {
    const bool wanted = snapshot.sheet->groups.contains(group) &&
                        (IsFirst(group) || now - home->LastUsed() < kIdleLimit);
    if (!wanted && home->Active() == 0) {
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

size_t HomeDirectory::Active() const {
  size_t active = 0;
  for (const auto& [group, home] : m_homes.All()) {
    active += home->Active();
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
    absl::SleepFor(kClosePoll);
  }
}

}  // namespace heatherwick
