// Guards against a first leader that is chosen from one claim, although the
// group has a history that the store has lost.

#include "Source/decision/first_leader_choice.h"

#include "doctest/doctest.h"

namespace heatherwick {
namespace {

class FirstLeaderFixture {
 protected:
  static TargetClaim Leads(const TargetId& id, uint64_t term) {
    return {id, true, TargetClaim::Answer{true, term}};
  }
  static TargetClaim Follows(const TargetId& id, uint64_t term) {
    return {id, false, TargetClaim::Answer{false, term}};
  }
  static TargetClaim Silent(const TargetId& id, bool registered_as_primary) {
    return {id, registered_as_primary, std::nullopt};
  }
};

TEST_CASE_FIXTURE(FirstLeaderFixture,
                  "FirstLeaderChoice_FirstStart_IsPublishedAtOnce") {
  const FirstLeaderChoice choice =
      ChooseFirstLeader({Follows("a", 1), Leads("b", 1), Follows("c", 1)},
                        std::nullopt, false, false);
  CHECK(choice.action == FirstLeaderAction::kPublish);
  CHECK(choice.target == "b");
  CHECK(choice.term == 1);
}

// A replaced target claims to lead until it can reach its successor.
TEST_CASE_FIXTURE(FirstLeaderFixture,
                  "FirstLeaderChoice_TwoClaim_NewerTermLeadsAfterOrders") {
  const std::vector<TargetClaim> claims = {Leads("a", 3), Leads("b", 4),
                                           Follows("c", 4)};
  CHECK(ChooseFirstLeader(claims, std::nullopt, false, false).action ==
        FirstLeaderAction::kWait);
  const FirstLeaderChoice choice =
      ChooseFirstLeader(claims, std::nullopt, false, true);
  CHECK(choice.action == FirstLeaderAction::kPublish);
  CHECK(choice.target == "b");
  CHECK(choice.term == 4);
}

// The only entry that the store has again may be that of a replaced target.
TEST_CASE_FIXTURE(FirstLeaderFixture,
                  "FirstLeaderChoice_RowsMayBeLost_WaitsForOtherEntries") {
  CHECK(ChooseFirstLeader({Leads("a", 1)}, std::nullopt, true, false).action ==
        FirstLeaderAction::kWait);
  CHECK(ChooseFirstLeader({Leads("a", 1), Follows("b", 1)}, std::nullopt, true,
                          true)
            .action == FirstLeaderAction::kPublish);
}

// The successor may be the target that does not answer.
TEST_CASE_FIXTURE(FirstLeaderFixture,
                  "FirstLeaderChoice_OneIsSilent_TargetIsElected") {
  for (const bool registered : {false, true}) {
    CAPTURE(registered);
    const std::vector<TargetClaim> claims = {Leads("a", 1), Follows("b", 1),
                                             Silent("c", registered)};
    CHECK(ChooseFirstLeader(claims, std::nullopt, false, false).action ==
          FirstLeaderAction::kWait);
    const FirstLeaderChoice choice =
        ChooseFirstLeader(claims, std::nullopt, false, true);
    CHECK(choice.action == FirstLeaderAction::kElect);
    CHECK(choice.target == "a");
  }
}

TEST_CASE_FIXTURE(FirstLeaderFixture,
                  "FirstLeaderChoice_ReplicaIsInNewerTerm_TargetIsElected") {
  const FirstLeaderChoice choice =
      ChooseFirstLeader({Leads("a", 3), Follows("b", 4), Follows("c", 3)},
                        std::nullopt, false, true);
  CHECK(choice.action == FirstLeaderAction::kElect);
  CHECK(choice.term == 4);
}

// The entry of a target can be older than the target's promotion.
TEST_CASE_FIXTURE(FirstLeaderFixture,
                  "FirstLeaderChoice_EntryIsOutdated_WaitsForOrders") {
  TargetClaim promoted = Leads("a", 1);
  promoted.registered_as_primary = false;
  CHECK(
      ChooseFirstLeader({promoted, Follows("b", 1)}, std::nullopt, false, false)
          .action == FirstLeaderAction::kWait);
}

TEST_CASE_FIXTURE(FirstLeaderFixture,
                  "FirstLeaderChoice_EarlierRowHasNewerTerm_TargetIsElected") {
  const FirstLeaderChoice choice = ChooseFirstLeader(
      {Leads("a", 3), Follows("b", 3)}, EarlierClaim{"c", 4}, false, true);
  CHECK(choice.action == FirstLeaderAction::kElect);
}

TEST_CASE_FIXTURE(FirstLeaderFixture,
                  "FirstLeaderChoice_NoTargetAnswers_Waits") {
  CHECK(ChooseFirstLeader({Silent("a", true), Silent("b", false)},
                          EarlierClaim{"a", 4}, false, true)
            .action == FirstLeaderAction::kWait);
}

}  // namespace
}  // namespace heatherwick
