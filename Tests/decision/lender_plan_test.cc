// Tests which instances hold connections where targets have too few for all.

#include "Source/decision/lender_plan.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "doctest/doctest.h"

namespace heatherwick {
namespace {

class LenderPlanFixture {
 protected:
  void AddMembers(size_t count, uint32_t capacity) {
    for (size_t i = 0; i < count; ++i) {
      const size_t number = m_members.size();
      m_members.push_back({absl::StrCat("instance-", number),
                           absl::StrCat("dc-", number % 6), capacity});
    }
  }
  LenderPlan PlanOf(const InstanceId& id, size_t max_connections) const {
    return PlanLenders("group", m_members, max_connections, id);
  }

  std::vector<FleetMember> m_members;
};

TEST_CASE_FIXTURE(LenderPlanFixture,
                  "LenderPlan_EnoughConnections_EveryInstanceHasItsOwn") {
  AddMembers(6, 25);
  CHECK(PlanOf("instance-0", 16).lenders.empty());
}

// Guards against a fleet whose connections together pass the targets' limit.
TEST_CASE_FIXTURE(LenderPlanFixture,
                  "LenderPlan_TooFewConnections_LendersUseHalfOfTheLimit") {
  for (const size_t size : {24, 80, 300, 3900}) {
    m_members.clear();
    AddMembers(size, 12);
    for (const size_t limit : {1, 2, 7, 16, 20}) {
      const LenderPlan plan = PlanOf("instance-0", limit);
      CHECK(!plan.lenders.empty());
      CHECK(plan.connections >= 1);
      CHECK(plan.connections * plan.lenders.size() <=
            std::max<size_t>(1, limit / 2));
    }
  }
}

TEST_CASE_FIXTURE(LenderPlanFixture,
                  "LenderPlan_AllInstances_AgreeOnTheLenders") {
  AddMembers(300, 12);
  const LenderPlan first = PlanOf("instance-0", 88);
  CHECK(first.lenders.size() == 11);
  size_t lending = 0;
  std::map<InstanceId, int> preferred;
  for (const FleetMember& member : m_members) {
    const LenderPlan plan = PlanOf(member.id, 88);
    CHECK(std::set(plan.lenders.begin(), plan.lenders.end()) ==
          std::set(first.lenders.begin(), first.lenders.end()));
    lending += plan.self_lends ? 1 : 0;
    ++preferred[plan.lenders.front()];
  }
  CHECK(lending == first.lenders.size());
  // Each lender serves first only a part of the instances.
  for (const auto& [id, count] : preferred) {
    CHECK(count <= 60);
  }
}

// Bytes between data centres are charged for, and cost time.
TEST_CASE_FIXTURE(LenderPlanFixture,
                  "LenderPlan_LenderInOwnDataCentre_IsPreferred") {
  AddMembers(300, 12);
  for (const FleetMember& member : m_members) {
    const InstanceId lender = PlanOf(member.id, 88).lenders.front();
    const auto found =
        std::find_if(m_members.begin(), m_members.end(),
                     [&lender](const auto& m) { return m.id == lender; });
    CHECK(found->data_centre == member.data_centre);
  }
}

TEST_CASE_FIXTURE(LenderPlanFixture,
                  "LenderPlan_UnequalCapacity_StrongMembersLendMore") {
  AddMembers(60, 12);
  AddMembers(12, 50);
  int strong = 0;
  int all = 0;
  for (int group = 0; group < 100; ++group) {
    const LenderPlan plan =
        PlanLenders(absl::StrCat("g", group), m_members, 46, "instance-0");
    for (const InstanceId& id : plan.lenders) {
      ++all;
      strong += std::stoi(id.substr(9)) >= 60 ? 1 : 0;
    }
  }
  CHECK(strong > all / 2);
}

TEST_CASE_FIXTURE(LenderPlanFixture,
                  "LenderPlan_LenderLeaves_FewOthersAreReplaced") {
  AddMembers(300, 12);
  const LenderPlan before = PlanOf("instance-0", 88);
  const InstanceId gone = before.lenders.back();
  std::erase_if(m_members, [&gone](const auto& m) { return m.id == gone; });
  const LenderPlan after = PlanOf("instance-0", 88);
  int kept = 0;
  for (const InstanceId& id : after.lenders) {
    kept += std::find(before.lenders.begin(), before.lenders.end(), id) !=
                    before.lenders.end()
                ? 1
                : 0;
  }
  CHECK(kept == 10);
}

}  // namespace
}  // namespace heatherwick
