// Tests the tree in which the instances pass on what they read of the store.

#include "Source/decision/relay_plan.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "doctest/doctest.h"

namespace heatherwick {
namespace {

class RelayPlanFixture {
 protected:
  static constexpr size_t kDataCentres = 6;

  void AddMembers(size_t count) {
    for (size_t i = 0; i < count; ++i) {
      m_members.push_back({absl::StrCat("instance-", i),
                           absl::StrCat("dc-", i % kDataCentres), 12});
    }
  }
  RelayPlan PlanOf(const InstanceId& id) const {
    return PlanRelay("table", m_members, id);
  }
  DataCentreName DataCentreOf(const InstanceId& id) const {
    return std::find_if(m_members.begin(), m_members.end(),
                        [&id](const FleetMember& m) { return m.id == id; })
        ->data_centre;
  }

  std::vector<FleetMember> m_members;
};

// Guards against a member whose load grows with the number of instances.
TEST_CASE_FIXTURE(RelayPlanFixture, "RelayPlan_LargeFleet_FanOutIsBounded") {
  AddMembers(300);
  std::map<InstanceId, size_t> followers;
  std::map<DataCentreName, size_t> across;
  size_t readers = 0;
  for (const FleetMember& member : m_members) {
    const RelaySource source = PlanOf(member.id).sources.front();
    if (source.IsStore()) {
      ++readers;
      continue;
    }
    ++followers[source.member];
    if (DataCentreOf(source.member) != member.data_centre) {
      ++across[member.data_centre];
    }
  }
  CHECK(readers == 1);
  for (const auto& [id, count] : followers) {
    CHECK(count <= kRelayFanOut + kDataCentres - 1);
  }
  // Bytes between data centres are charged for.
  CHECK(across.size() == kDataCentres - 1);
  for (const auto& [name, count] : across) {
    CHECK(count == 1);
  }
}

TEST_CASE_FIXTURE(RelayPlanFixture,
                  "RelayPlan_FollowingFirstSources_EndsAtTheStore") {
  AddMembers(3900);
  for (size_t index = 0; index < m_members.size(); index += 97) {
    RelaySource source{m_members[index].id};
    int hops = 0;
    while (!source.IsStore()) {
      source = PlanOf(source.member).sources.front();
      REQUIRE(++hops <= 6);
    }
  }
}

TEST_CASE_FIXTURE(RelayPlanFixture,
                  "RelayPlan_UnequalCapacity_StrongMembersRelay") {
  AddMembers(60);
  std::set<InstanceId> strong;
  for (size_t i = 40; i < 46; ++i) {
    m_members[i].capacity = 50;
    strong.insert(m_members[i].id);
  }
  for (const FleetMember& member : m_members) {
    const RelaySource source = PlanOf(member.id).sources.front();
    if (DataCentreOf(member.id) != "dc-0" && strong.contains(member.id)) {
      CHECK((source.IsStore() || strong.contains(source.member)));
    }
  }
}

// Guards against a fleet in which every member polls a store that is down.
TEST_CASE_FIXTURE(RelayPlanFixture, "RelayPlan_LargeFleet_FewMayPollTheStore") {
  AddMembers(300);
  size_t readers = 0;
  for (const FleetMember& member : m_members) {
    readers += PlanOf(member.id).unresponsive_before_store == 0 ? 1 : 0;
  }
  CHECK(readers >= kDataCentres);
  CHECK(readers <= 8);
}

TEST_CASE_FIXTURE(RelayPlanFixture,
                  "RelayPlan_NotJoinedYet_FollowsRelaysBeforeTheStore") {
  CHECK(PlanOf("new").sources == std::vector<RelaySource>{{}});
  AddMembers(12);
  const RelayPlan plan = PlanOf("new");
  CHECK(plan.sources.size() > 1);
  CHECK(!plan.sources.front().IsStore());
  CHECK(plan.sources.back().IsStore());
}

}  // namespace
}  // namespace heatherwick
