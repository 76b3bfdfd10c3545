// Tests which target is promoted for what is known of the targets' logs.

#include "Source/decision/promotion_choice.h"

#include "doctest/doctest.h"

namespace heatherwick {
namespace {

class PromotionChoiceFixture {
 protected:
  void Add(const TargetId& id, std::optional<uint64_t> lsn) {
    ReplicaLog replica;
    replica.id = id;
    if (lsn) {
      replica.received = Position{1, *lsn};
    }
    m_replicas.push_back(replica);
  }
  PromotionChoice Choose(
      uint32_t sync_replicas,
      std::optional<Position> old_primary = std::nullopt) const {
    return ChoosePromotion(sync_replicas, m_replicas, old_primary);
  }

  std::vector<ReplicaLog> m_replicas;
};

TEST_CASE_FIXTURE(PromotionChoiceFixture,
                  "PromotionChoice_NoSyncReplicas_TakesMostAdvancedKnown") {
  Add("a", 5);
  Add("b", 7);
  Add("c", std::nullopt);
  CHECK(Choose(0).target == "b");
}

// Guards against the loss of commits that only an unknown log has.
TEST_CASE_FIXTURE(PromotionChoiceFixture,
                  "PromotionChoice_TooManyLogsUnknown_ChoosesNone") {
  Add("a", 5);
  Add("b", std::nullopt);
  const PromotionChoice choice = Choose(1);
  CHECK_FALSE(choice.target.has_value());
  CHECK_FALSE(choice.required.has_value());
  CHECK(choice.unknown == std::vector<TargetId>{"b"});
}

// Two replicas acknowledge each commit, so one of them is known.
TEST_CASE_FIXTURE(
    PromotionChoiceFixture,
    "PromotionChoice_FewerLogsUnknownThanSync_TakesMostAdvanced") {
  Add("a", 5);
  Add("b", 6);
  Add("c", std::nullopt);
  CHECK(Choose(2).target == "b");
}

TEST_CASE_FIXTURE(PromotionChoiceFixture,
                  "PromotionChoice_OnlyDrainingHasCommits_IsChosen") {
  Add("a", 5);
  Add("b", 7);
  m_replicas[1].draining = true;
  CHECK(Choose(1).target == "b");
  CHECK(Choose(0).target == "a");
}

TEST_CASE_FIXTURE(PromotionChoiceFixture,
                  "PromotionChoice_DrainingAndOtherHaveCommits_TakesOther") {
  Add("a", 7);
  Add("b", 7);
  m_replicas[0].draining = true;
  CHECK(Choose(1).target == "b");
}

// A target that the platform refuses to promote still shows which commits may
// have been acknowledged.
TEST_CASE_FIXTURE(PromotionChoiceFixture,
                  "PromotionChoice_RejectedTargetIsAhead_ChoosesNone") {
  Add("a", 5);
  Add("b", 7);
  m_replicas[1].promotable = false;
  const PromotionChoice choice = Choose(1);
  CHECK_FALSE(choice.target.has_value());
  CHECK(choice.required == Position{1, 7});
}

TEST_CASE_FIXTURE(PromotionChoiceFixture,
                  "PromotionChoice_OldPrimaryAnswers_NeedsNoOtherLog") {
  Add("a", 5);
  Add("b", std::nullopt);
  CHECK(Choose(1, Position{1, 5}).target == "a");
  CHECK_FALSE(Choose(1, Position{1, 6}).target.has_value());
}

// The old primary may have commits that no replica has received; these were not
// acknowledged.
TEST_CASE_FIXTURE(PromotionChoiceFixture,
                  "PromotionChoice_OldPrimaryAhead_NeedsAcknowledgedOnly") {
  Add("a", 5);
  Add("b", 4);
  CHECK(Choose(1, Position{1, 9}).target == "a");
}

}  // namespace
}  // namespace heatherwick
