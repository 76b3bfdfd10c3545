// Tests the ranking of candidates, which every instance must compute alike.

#include "Source/decision/placement.h"

#include <string>
#include <vector>

#include "Source/decision/list_schedule.h"
#include "absl/strings/str_cat.h"
#include "doctest/doctest.h"

namespace heatherwick {
namespace {

class PlacementFixture {
 protected:
  static constexpr int kInstances = 60;
  static constexpr int kGroups = 500;

  PlacementFixture() {
    for (int i = 0; i < kInstances; ++i) {
      m_candidates.push_back(
          {absl::StrCat("instance-", i), absl::StrCat("dc-", i % 3)});
    }
  }

  InstanceId Home(int group,
                  const std::vector<PlacementCandidate>& candidates) const {
    const auto ranked =
        RankCandidates(absl::StrCat("group-", group), candidates, 1);
    return candidates[ranked.at(0)].id;
  }

  std::vector<PlacementCandidate> m_candidates;
};

// Guards against moving the connections and queues of groups whose home is
// still a member when the members change.
TEST_CASE_FIXTURE(PlacementFixture,
                  "Placement_InstanceLeaves_MovesOnlyItsGroups") {
  auto remaining = m_candidates;
  remaining.erase(remaining.begin() + 17);
  int moved = 0;
  for (int group = 0; group < kGroups; ++group) {
    const InstanceId before = Home(group, m_candidates);
    const InstanceId after = Home(group, remaining);
    moved += before != after ? 1 : 0;
    CHECK((before == after || before == "instance-17"));
  }
  CHECK(moved > 0);
}

// Guards against losing both the home and its successor with one data centre.
TEST_CASE_FIXTURE(PlacementFixture,
                  "Placement_SecondRank_IsInAnotherDataCentre") {
  for (int group = 0; group < kGroups; ++group) {
    const auto ranked =
        RankCandidates(absl::StrCat("group-", group), m_candidates, 3);
    REQUIRE(ranked.size() == 3);
    CHECK(m_candidates[ranked[0]].data_centre !=
          m_candidates[ranked[1]].data_centre);
  }
}

TEST_CASE_FIXTURE(PlacementFixture,
                  "Placement_OrderOfMembers_DoesNotChangeHome") {
  const std::vector<PlacementCandidate> reversed(m_candidates.rbegin(),
                                                 m_candidates.rend());
  for (int group = 0; group < kGroups; ++group) {
    CHECK(Home(group, m_candidates) == Home(group, reversed));
  }
}

// With one poller, a region would get no updates from the store while the
// poller restarts. Two pollers in one data centre would be lost together.
TEST_CASE_FIXTURE(
    PlacementFixture,
    "ChooseStorePollers_OfRegion_ReturnsTwoInDifferentDataCentres") {
  const auto pollers = ChooseStorePollers("ro-central", m_candidates);
  REQUIRE(pollers.size() == 2);
  CHECK(m_candidates[pollers[0]].data_centre !=
        m_candidates[pollers[1]].data_centre);
}

}  // namespace
}  // namespace heatherwick
