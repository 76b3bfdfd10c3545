// Tests in virtual time that instances keep to one primary when the store
// returns from an older copy, which lacks rows that it had acknowledged.
// LeadershipCluster checks all the time that no instance may acknowledge writes
// of a primary that has been replaced, and that fencing tokens never decrease.

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "Source/gateway/era_scoped_row_store.h"
#include "Source/gateway/first_leader.h"
#include "Source/gateway/quota/member_fleet_view.h"
#include "Source/gateway/store_version.h"
#include "Tests/gateway/leadership_cluster.h"
#include "Tests/gateway/seed_range.h"
#include "doctest/doctest.h"

namespace heatherwick {
namespace {

// Within this time after a return, a group with a living primary takes writes
// again, and all instances use it.
constexpr absl::Duration kGroupRecoveryTime = absl::Milliseconds(2500);
constexpr absl::Duration kFleetRecoveryTime = absl::Seconds(5);
// If no instance remembers a usable primary, orders of the time before the
// return must have ended first.
constexpr absl::Duration kRecoveryWithoutMemory = absl::Seconds(12);

class StoreReturnFixture {
 protected:
  void Start(size_t instances, size_t groups = 1) {
    m_cluster = std::make_unique<LeadershipCluster>(instances, groups);
    m_empty_table = m_cluster->m_table;
    m_cluster->RunFor(absl::Seconds(3));
    REQUIRE(m_cluster->AllUse("g0", "g0-db0"));
  }

  // Replaces g0-db0, which goes on claiming to lead in its old term, as a
  // target does that cannot reach its successor.
  void ReplaceFirstPrimary() {
    SetReachable("g0-db0", false);
    m_cluster->RunFor(absl::Seconds(5));
    REQUIRE(m_cluster->AllUse("g0", "g0-db1"));
    SetReachable("g0-db0", true);
    m_cluster->RunFor(absl::Seconds(1));
  }

  void SetReachable(const TargetId& target, bool reachable) {
    for (const std::string name : {"i0", "i1", "i2", "i3", "i4", "i5"}) {
      LeadershipCluster::Instance* const instance = m_cluster->Find(name);
      if (instance != nullptr && reachable) {
        instance->unreachable.erase(target);
      } else if (instance != nullptr) {
        instance->unreachable.insert(target);
      }
    }
  }

  void CutOff(size_t instance, bool cut_off) {
    m_cluster->At(instance).store.SetDown(cut_off);
    m_cluster->At(instance).isolated = cut_off;
  }

  // Replaces g0-db0 while `instance` is cut off.
  void ReplacePrimaryWithout(size_t instance) {
    SetReachable("g0-db0", false);
    m_cluster->RunFor(absl::Seconds(8));
    for (size_t index = 0; index < 4; ++index) {
      if (index != instance) {
        REQUIRE(m_cluster->At(index).Manager().UsablePrimary("g0") == "g0-db1");
      }
    }
    SetReachable("g0-db0", true);
  }

  // Makes g0-db0 unreachable and runs until a promotion has been ordered, which
  // takes effect after `effect_after`.
  void LosePrimaryUntilOrdered(absl::Duration effect_after) {
    m_cluster->order_fate = [effect_after](const TargetId&) {
      return OrderFate{effect_after, true};
    };
    SetReachable("g0-db0", false);
    while (m_cluster->promoted.empty()) {
      m_cluster->RunFor(absl::Milliseconds(5));
    }
  }

  std::unique_ptr<LeadershipCluster> m_cluster;
  FakeTable m_empty_table;
};

// In incident 38, started instances proposed a first leader for a group that
// had changed its primary three times, and statements ran at it.
TEST_CASE_FIXTURE(StoreReturnFixture,
                  "FirstLeader_OnlyReplacedTargetClaims_IsNotPublished") {
  Start(3);
  ReplaceFirstPrimary();
  // The copy has the new primary's entry from before it was promoted.
  m_cluster->m_databases["g0-db1"].registered_claim = false;
  m_cluster->m_table.ReturnTo(m_empty_table);
  m_cluster->RestartAll();
  m_cluster->RunFor(absl::Seconds(2));
  CHECK(m_cluster->wrong_acknowledgements == 0);
  m_cluster->m_databases["g0-db1"].registered_claim.reset();
  m_cluster->RunFor(kRecoveryWithoutMemory);
  CHECK(m_cluster->AllUse("g0", "g0-db1"));
}

TEST_CASE_FIXTURE(StoreReturnFixture,
                  "FirstLeader_ClaimingTargetDoesNotAnswer_IsNotPublished") {
  Start(3);
  ReplaceFirstPrimary();
  m_cluster->m_databases["g0-db1"].registered_claim = false;
  SetReachable("g0-db0", false);
  m_cluster->m_table.ReturnTo(m_empty_table);
  m_cluster->RestartAll();
  SetReachable("g0-db0", false);
  m_cluster->RunFor(absl::Seconds(2));
  CHECK(m_cluster->wrong_acknowledgements == 0);
}

// Targets write their entries again one after the other. The replaced target is
// in its first term, which shows no history.
TEST_CASE_FIXTURE(StoreReturnFixture,
                  "FirstLeader_ReplacedTargetIsListedFirst_IsNotPublished") {
  Start(3);
  ReplaceFirstPrimary();
  m_cluster->m_databases["g0-db1"].listed = false;
  m_cluster->m_databases["g0-db2"].listed = false;
  m_cluster->m_table.ReturnTo(m_empty_table);
  m_cluster->RestartAll();
  m_cluster->RunFor(absl::Seconds(2));
  m_cluster->m_databases["g0-db1"].listed = true;
  m_cluster->m_databases["g0-db2"].listed = true;
  m_cluster->RunFor(kRecoveryWithoutMemory);
  CHECK(m_cluster->wrong_acknowledgements == 0);
  CHECK(m_cluster->AllUse("g0", "g0-db1"));
}

// The targets answered before the order took effect, and their answers were
// read after it, when orders had ended.
TEST_CASE_FIXTURE(StoreReturnFixture,
                  "FirstLeader_AnswersAreReadLate_ReplacedPrimaryIsNotUsed") {
  Start(3);
  const FakeTable copy = m_cluster->m_table;
  LosePrimaryUntilOrdered(absl::Milliseconds(3600));
  m_cluster->m_table.ReturnTo(copy);
  m_cluster->RestartAll();
  SetReachable("g0-db0", true);
  for (size_t index = 0; index < 3; ++index) {
    m_cluster->At(index).status_delay = absl::Milliseconds(1500);
  }
  m_cluster->RunFor(absl::Seconds(20));
  CHECK(m_cluster->wrong_acknowledgements == 0);
  CHECK(m_cluster->AllUse("g0", "g0-db1"));
}

// An order of the group's first seconds, of which the copy shows nothing.
TEST_CASE_FIXTURE(StoreReturnFixture,
                  "FirstLeader_FirstOrderInFlight_OldPrimaryIsNotUsed") {
  Start(3);
  LosePrimaryUntilOrdered(absl::Milliseconds(2900));
  m_cluster->order_fate = nullptr;
  m_cluster->m_table.ReturnTo(m_empty_table);
  m_cluster->RestartAll();
  SetReachable("g0-db0", true);
  m_cluster->RunFor(kRecoveryWithoutMemory);
  CHECK(m_cluster->wrong_acknowledgements == 0);
  CHECK(m_cluster->AllUse("g0", "g0-db1"));
}

TEST_CASE_FIXTURE(StoreReturnFixture,
                  "StoreReturn_InstanceStarts_ReplacedPrimaryIsNotUsed") {
  Start(3);
  const FakeTable copy = m_cluster->m_table;
  ReplaceFirstPrimary();
  m_cluster->m_table.ReturnTo(copy);
  m_cluster->AddInstance("i0");
  m_cluster->RunFor(kFleetRecoveryTime);
  CHECK(m_cluster->wrong_acknowledgements == 0);
  CHECK(m_cluster->AllUse("g0", "g0-db1"));
}

TEST_CASE_FIXTURE(StoreReturnFixture,
                  "StoreReturn_AllInstancesStart_ReplacedPrimaryIsNotUsed") {
  Start(3);
  const FakeTable copy = m_cluster->m_table;
  ReplaceFirstPrimary();
  m_cluster->m_table.ReturnTo(copy);
  m_cluster->RestartAll();
  m_cluster->RunFor(kRecoveryWithoutMemory);
  CHECK(m_cluster->wrong_acknowledgements == 0);
  CHECK(m_cluster->AllUse("g0", "g0-db1"));
}

// The order that was recorded in the lost rows takes effect after the return.
TEST_CASE_FIXTURE(StoreReturnFixture,
                  "StoreReturn_OrderInFlight_ReplacedPrimaryIsNotUsed") {
  for (const bool restart : {false, true}) {
    CAPTURE(restart);
    Start(3);
    const FakeTable copy = m_cluster->m_table;
    LosePrimaryUntilOrdered(absl::Milliseconds(2900));
    m_cluster->order_fate = nullptr;
    m_cluster->m_table.ReturnTo(copy);
    if (restart) {
      m_cluster->RestartAll();
    }
    SetReachable("g0-db0", true);
    m_cluster->RunFor(absl::Seconds(15));
    CHECK(m_cluster->wrong_acknowledgements == 0);
    CHECK(m_cluster->AllUse("g0", "g0-db1"));
  }
}

TEST_CASE_FIXTURE(StoreReturnFixture,
                  "StoreReturn_PrimaryLives_IsUsedAgainSoon") {
  Start(6, 3);
  m_cluster->RunFor(absl::Seconds(2));
  const FakeTable copy = m_cluster->m_table;
  m_cluster->RunFor(absl::Seconds(4));
  for (const absl::Duration away :
       {absl::ZeroDuration(), absl::Milliseconds(500), absl::Seconds(3)}) {
    CAPTURE(away);
    m_cluster->ReturnStore(copy, away);
    m_cluster->RunFor(kGroupRecoveryTime);
    for (const std::string group : {"g0", "g1", "g2"}) {
      CHECK(m_cluster->AllUse(group, group + "-db0"));
    }
    CHECK(m_cluster->promoted.empty());
    m_cluster->RunFor(absl::Seconds(1));
  }
}

// The versions of the promotion lock are given out again.
TEST_CASE_FIXTURE(StoreReturnFixture,
                  "StoreReturn_PrimariesChangeAgain_TokensDoNotDecrease") {
  Start(3, 2);
  const FakeTable copy = m_cluster->m_table;
  ReplaceFirstPrimary();
  m_cluster->m_table.ReturnTo(copy);
  m_cluster->RunFor(kFleetRecoveryTime);
  SetReachable("g1-db0", false);
  m_cluster->RunFor(absl::Seconds(6));
  CHECK(m_cluster->AllUse("g1", "g1-db1"));
}

// The store gave out so many versions since the copy that the numbers of the
// new era are all lower than that of the last order.
TEST_CASE_FIXTURE(StoreReturnFixture,
                  "StoreReturn_ManyVersionsLost_TokensDoNotDecrease") {
  Start(3, 2);
  const FakeTable copy = m_cluster->m_table;
  m_cluster->m_table.version += 100000;
  ReplaceFirstPrimary();
  m_cluster->m_table.ReturnTo(copy);
  m_cluster->RunFor(kFleetRecoveryTime);
  SetReachable("g1-db0", false);
  m_cluster->RunFor(absl::Seconds(6));
  CHECK(m_cluster->promoted.size() == 2);
  CHECK(m_cluster->AllUse("g1", "g1-db1"));
}

TEST_CASE_FIXTURE(StoreReturnFixture,
                  "StoreReturn_TwiceWithinASecond_OnePrimaryIsUsed") {
  Start(3);
  const FakeTable copy = m_cluster->m_table;
  ReplaceFirstPrimary();
  m_cluster->m_table.ReturnTo(copy);
  m_cluster->RunFor(absl::Milliseconds(300));
  m_cluster->AddInstance("i1");
  m_cluster->RunFor(absl::Milliseconds(300));
  m_cluster->m_table.ReturnTo(copy);
  m_cluster->RunFor(kFleetRecoveryTime);
  CHECK(m_cluster->wrong_acknowledgements == 0);
  CHECK(m_cluster->AllUse("g0", "g0-db1"));
}

// An instance that misses the return must not use a primary that others have
// replaced since.
TEST_CASE_FIXTURE(StoreReturnFixture,
                  "StoreReturn_InstanceCutOff_LosesItsLease") {
  Start(4);
  m_cluster->RunFor(absl::Seconds(2));
  const FakeTable copy = m_cluster->m_table;
  m_cluster->RunFor(absl::Seconds(2));
  CutOff(3, true);
  m_cluster->m_table.ReturnTo(copy);
  m_cluster->m_databases["g0-db0"].alive = false;
  m_cluster->RunFor(absl::Seconds(8));
  CHECK(m_cluster->wrong_acknowledgements == 0);
  CHECK(m_cluster->At(0).Manager().UsablePrimary("g0") == "g0-db1");
  CHECK_FALSE(m_cluster->At(3).Manager().UsablePrimary("g0").has_value());
  CutOff(3, false);
  m_cluster->RunFor(kFleetRecoveryTime);
  CHECK(m_cluster->AllUse("g0", "g0-db1"));
}

// A write that got no answer is applied after the return, when its condition
// may hold again for another row.
TEST_CASE_FIXTURE(StoreReturnFixture,
                  "StoreReturn_WriteIsAppliedLate_HasNoEffect") {
  Start(3);
  const FakeTable copy = m_cluster->m_table;
  for (size_t index = 0; index < 3; ++index) {
    m_cluster->At(index).store.LoseNextAnswer(absl::Milliseconds(1200));
  }
  SetReachable("g0-db0", false);
  m_cluster->RunFor(absl::Milliseconds(1100));
  m_cluster->m_table.ReturnTo(copy);
  SetReachable("g0-db0", true);
  m_cluster->RunFor(kRecoveryWithoutMemory);
  CHECK(m_cluster->wrong_acknowledgements == 0);
  bool found = false;
  for (const std::string target : {"g0-db0", "g0-db1", "g0-db2"}) {
    found |= m_cluster->AllUse("g0", target);
  }
  CHECK(found);
}

// An instance ends its use of a primary for a change of the era before. It must
// not count as having confirmed a change of the same epoch in the new era.
TEST_CASE_FIXTURE(StoreReturnFixture,
                  "StoreReturn_QuiescedAfterwards_ConfirmsNoNewChange") {
  Start(3);
  m_cluster->m_databases["g0-db0"].draining = true;
  while (m_cluster->At(0).Manager().View().Leader("g0").epoch < 2) {
    m_cluster->RunFor(absl::Milliseconds(5));
  }
  m_cluster->m_table.ReturnTo(m_empty_table);
  m_cluster->AddInstance("i1");
  m_cluster->AddInstance("i2");
  m_cluster->m_databases["g0-db0"].draining = false;
  m_cluster->RunFor(absl::Seconds(8));
  // Chosen by an instance that remembers nothing.
  REQUIRE(m_cluster->At(0).Manager().View().Leader("g0").epoch == 1);
  REQUIRE(m_cluster->AllUse("g0", "g0-db0"));
  CutOff(0, true);
  m_cluster->m_databases["g0-db0"].alive = false;
  m_cluster->RunFor(absl::Seconds(8));
  CHECK(m_cluster->wrong_acknowledgements == 0);
  CHECK(m_cluster->At(1).Manager().UsablePrimary("g0") == "g0-db1");
}

// The first to register again must not open the connections of all.
TEST_CASE_FIXTURE(StoreReturnFixture,
                  "StoreReturn_MembersRegisterAgain_ShareOfConnectionsStays") {
  Start(6);
  m_cluster->RunFor(absl::Seconds(1));
  const FakeTable copy = m_cluster->m_table;
  m_cluster->Kill("i5");
  m_cluster->m_table.ReturnTo(copy);
  size_t fewest = 6;
  size_t registered = 6;
  for (int step = 0; step < 200; ++step) {
    m_cluster->m_loop.RunFor(absl::Milliseconds(5));
    const LeadershipManager& manager = m_cluster->At(0).Manager();
    fewest = std::min(fewest, manager.MemberCount());
    registered = std::min(registered, manager.View().Members().size());
  }
  CHECK(fewest == 6);
  CHECK(registered < 5);
  m_cluster->RunFor(absl::Seconds(2));
  CHECK(m_cluster->At(0).Manager().MemberCount() == 5);
}

// With partial views of the members no coordinator of a quota had its share
// until a lease after the last of them, and operations within the quota were
// refused.
TEST_CASE_FIXTURE(StoreReturnFixture,
                  "MemberFleetView_MembersRegisterAgain_ViewDoesNotChange") {
  Start(6);
  m_cluster->RunFor(absl::Seconds(1));
  const FakeTable copy = m_cluster->m_table;
  const MemberFleetView fleet(&m_cluster->At(0).Manager());
  REQUIRE(fleet.Members().size() == 6);
  m_cluster->m_table.ReturnTo(copy);
  for (int step = 0; step < 400; ++step) {
    m_cluster->m_loop.RunFor(absl::Milliseconds(5));
    CHECK(fleet.Members().size() == 6);
    CHECK(fleet.PeerAddress("i5") == "i5");
  }
  CHECK(m_cluster->At(0).Manager().View().Era() == 1);
}

// A leader that was usable only until a lease ended may have been replaced
// since by instances that no longer remember it.
TEST_CASE_FIXTURE(StoreReturnFixture,
                  "StoreReturn_LeaseHadEnded_RememberedLeaderIsNotProven") {
  Start(4);
  const FakeTable copy = m_cluster->m_table;
  CutOff(3, true);
  ReplacePrimaryWithout(3);
  m_cluster->m_table.ReturnTo(copy);
  for (const std::string name : {"i0", "i1", "i2"}) {
    m_cluster->AddInstance(name);
  }
  CutOff(3, false);
  m_cluster->RunFor(kRecoveryWithoutMemory);
  CHECK(m_cluster->wrong_acknowledgements == 0);
  CHECK(m_cluster->AllUse("g0", "g0-db1"));
}

// A leader that was proven at the first return may have been replaced before
// the second one.
TEST_CASE_FIXTURE(StoreReturnFixture,
                  "StoreReturn_SecondAfterLease_ProvenLeaderIsNotProvenAgain") {
  Start(4);
  m_cluster->RunFor(absl::Seconds(2));
  const FakeTable copy = m_cluster->m_table;
  m_cluster->m_table.ReturnTo(copy);
  // i3 learns of the first new era, but not of its leaders.
  while (m_cluster->At(3).Manager().LeaseValid()) {
    m_cluster->m_loop.RunFor(absl::Milliseconds(1));
  }
  CutOff(3, true);
  m_cluster->RunFor(kFleetRecoveryTime);
  ReplacePrimaryWithout(3);
  m_cluster->m_table.ReturnTo(copy);
  for (const std::string name : {"i0", "i1", "i2"}) {
    m_cluster->AddInstance(name);
  }
  CutOff(3, false);
  m_cluster->RunFor(kRecoveryWithoutMemory);
  CHECK(m_cluster->wrong_acknowledgements == 0);
  CHECK(m_cluster->AllUse("g0", "g0-db1"));
}

// Epochs begin anew, so that a confirmation of the era before would stand for a
// later change, and its sender's lease would not be waited for.
TEST_CASE_FIXTURE(StoreReturnFixture,
                  "StoreReturn_ConfirmationOfEarlierEra_DoesNotCount") {
  Start(4);
  const FakeTable copy = m_cluster->m_table;
  m_cluster->m_table.ReturnTo(copy);
  m_cluster->RunFor(kFleetRecoveryTime);
  REQUIRE(m_cluster->AllUse("g0", "g0-db0"));
  constexpr uint64_t kIncarnation = 4;  // Of i3, the fourth that was started.
  for (size_t index = 0; index < 3; ++index) {
    m_cluster->At(index).Manager().Vouch(
        {"i3", kIncarnation, QualifyVersion(0, 9), {{"g0", 99}}, {}});
  }
  CutOff(3, true);
  SetReachable("g0-db0", false);
  m_cluster->At(3).unreachable.clear();
  m_cluster->RunFor(absl::Seconds(8));
  CHECK(m_cluster->wrong_acknowledgements == 0);
  CHECK(m_cluster->At(0).Manager().UsablePrimary("g0") == "g0-db1");
}

// An instance that registers with confirmations of the era before would have
// confirmed changes that begin later, as epochs begin anew.
TEST_CASE_FIXTURE(StoreReturnFixture,
                  "StoreReturn_InstanceRegisters_HasConfirmedNothing") {
  Start(4);
  const FakeTable copy = m_cluster->m_table;
  ReplaceFirstPrimary();
  SetReachable("g0-db1", false);
  m_cluster->RunFor(absl::Seconds(6));
  REQUIRE(m_cluster->promoted.size() == 2);
  const TargetId primary = m_cluster->promoted.back();
  REQUIRE(m_cluster->AllUse("g0", primary));
  SetReachable("g0-db1", true);
  CutOff(3, true);
  m_cluster->RunFor(absl::Seconds(4));
  // Only i3 remembers the changes. It leaves the choice to the others.
  m_cluster->m_table.ReturnTo(copy);
  for (const std::string name : {"i0", "i1", "i2"}) {
    m_cluster->AddInstance(name);
  }
  CutOff(3, false);
  m_cluster->At(3).unreachable = {"g0-db0", "g0-db1", "g0-db2"};
  while (!m_cluster->At(0).Manager().UsablePrimary("g0")) {
    m_cluster->RunFor(absl::Milliseconds(50));
  }
  m_cluster->At(3).unreachable.clear();
  m_cluster->RunFor(absl::Seconds(3));
  REQUIRE(m_cluster->AllUse("g0", primary));
  // The targets follow the primary, so that only the confirmations are waited
  // for.
  const TargetStatus status = m_cluster->m_databases[primary].status;
  for (auto& [id, database] : m_cluster->m_databases) {
    database.status = status;
    database.status.primary = id == primary;
  }
  CutOff(3, true);
  SetReachable(primary, false);
  m_cluster->At(3).unreachable.clear();
  m_cluster->RunFor(absl::Seconds(8));
  CHECK(m_cluster->wrong_acknowledgements == 0);
  CHECK(m_cluster->promoted.size() == 3);
}

// As above, with an instance that is told so by the answer of a peer.
TEST_CASE_FIXTURE(
    StoreReturnFixture,
    "PeerLeases_EraThatTheStoreHasNotReached_InstancesServeAgain") {
  Start(3);
  m_cluster->At(0).store.SetDown(true);
  m_cluster->At(1).store.SetDown(true);
  VouchQuery query;
  query.instance = "x";
  query.leaders_version = QualifyVersion(7, 0);
  m_cluster->At(0).Manager().Vouch(query);
  m_cluster->RunFor(absl::Seconds(2));
  REQUIRE(m_cluster->At(1).Manager().View().Era() == 7);
  m_cluster->At(0).store.SetDown(false);
  m_cluster->At(1).store.SetDown(false);
  m_cluster->RunFor(absl::Seconds(30));
  CHECK(m_cluster->AllUse("g0", "g0-db0"));
}

// Rows of earlier eras would add up with each return.
TEST_CASE_FIXTURE(StoreReturnFixture,
                  "StoreReturn_RowsOfEarlierEras_AreDeletedInTheEnd") {
  Start(3);
  m_cluster->RunFor(absl::Seconds(2));
  const FakeTable copy = m_cluster->m_table;
  m_cluster->m_table.ReturnTo(copy);
  m_cluster->RunFor(absl::Seconds(2));
  const FakeTable second_copy = m_cluster->m_table;
  m_cluster->m_table.ReturnTo(second_copy);
  m_cluster->RunFor(absl::Seconds(70));
  size_t rows = 0;
  for (const auto& entry : m_cluster->m_table.rows) {
    const std::string& key = entry.first;
    const uint64_t era = EraScopedRowStore::ParseKey(key).second;
    CHECK_MESSAGE((entry.second.deleted || era == 2), key);
    rows += !entry.second.deleted && era == 2 ? 1 : 0;
  }
  CHECK(rows > 3);
  CHECK(m_cluster->AllUse("g0", "g0-db0"));
}

// A member's row shows which members it knows. A row of the present era was
// taken to know members that only registered in this era after it, because
// their rows tell since when they had been in the table of the era before. A
// change then did not wait for a lease that was extended by unanimity.
TEST_CASE_FIXTURE(StoreReturnFixture,
                  "StoreReturn_MembersRegisterApart_UnanimityIsWaitedFor") {
  // Without a return, the change waits.
  for (const bool returns : {false, true}) {
    CAPTURE(returns);
    Start(4);
    m_cluster->RunFor(absl::Seconds(2));
    const FakeTable copy = m_cluster->m_table;
    // i2 and i3 lose the store and the others before the return.
    for (const size_t index : {size_t{2}, size_t{3}}) {
      m_cluster->At(index).store.SetDown(true);
      m_cluster->At(index).partition = 1;
    }
    m_cluster->RunFor(absl::Milliseconds(500));
    if (returns) {
      m_cluster->m_table.ReturnTo(copy);
    }
    m_cluster->RunFor(absl::Seconds(2));
    REQUIRE(m_cluster->At(0).Manager().UsablePrimary("g0") == "g0-db0");
    REQUIRE(m_cluster->At(1).Manager().UsablePrimary("g0") == "g0-db0");
    // Now i0, i1 and the primary are cut off from the store and from i2 and i3.
    for (const size_t index : {size_t{0}, size_t{1}}) {
      m_cluster->At(index).store.SetDown(true);
    }
    for (const size_t index : {size_t{2}, size_t{3}}) {
      m_cluster->At(index).store.SetDown(false);
      m_cluster->At(index).unreachable.insert("g0-db0");
    }
    m_cluster->RunFor(absl::Seconds(20));
    CHECK(m_cluster->wrong_acknowledgements == 0);
  }
}

// The instances share a target's connections by the number of members. While
// the members registered again, each took itself to be the only one, and the
// shares together exceeded the target's limit.
TEST_CASE_FIXTURE(StoreReturnFixture,
                  "StoreReturn_MembersRegister_CountDoesNotDrop") {
  Start(6);
  const FakeTable copy = m_cluster->m_table;
  m_cluster->m_table.ReturnTo(copy);
  size_t lowest = 6;
  for (int step = 0; step < 400; ++step) {
    m_cluster->m_loop.RunFor(absl::Milliseconds(5));
    for (size_t index = 0; index < 6; ++index) {
      lowest = std::min(lowest, m_cluster->At(index).Manager().MemberCount());
    }
  }
  CHECK(lowest == 6);
}

// A planned change of the era before ends its statements in the new era, and
// its epoch was confirmed there. Epochs begin anew if only started instances
// publish the leader, so that later changes did not wait for this instance.
TEST_CASE_FIXTURE(StoreReturnFixture,
                  "StoreReturn_QuiesceEndsInNewEra_ConfirmsNothing") {
  Start(3);
  ReplaceFirstPrimary();
  m_cluster->m_databases["g0-db1"].draining = true;
  while (m_cluster->At(2).Manager().View().Leader("g0").phase !=
         LeaderPhase::kChanging) {
    m_cluster->RunFor(absl::Milliseconds(5));
  }
  m_cluster->m_databases["g0-db1"].draining = false;
  const uint64_t epoch = m_cluster->At(2).Manager().View().Leader("g0").epoch;
  m_cluster->m_table.ReturnTo(m_empty_table);
  m_cluster->AddInstance("i0");
  m_cluster->AddInstance("i1");
  m_cluster->RunFor(absl::Seconds(1));
  const LeadershipView& view = m_cluster->At(0).Manager().View();
  REQUIRE(view.Era() == 1);
  REQUIRE(view.Members().contains("i2"));
  CHECK_FALSE(view.HasConfirmed("i2", view.Members().at("i2").incarnation, "g0",
                                epoch));
  // Only instances without memory publish the leader.
  CutOff(2, true);
  m_cluster->RunFor(kRecoveryWithoutMemory);
  CutOff(2, false);
  m_cluster->RunFor(absl::Seconds(3));
  REQUIRE(m_cluster->AllUse("g0", "g0-db1"));
  // i2 misses the next change, which must wait for its lease. The other replica
  // has the whole log, so that the change waits for nothing else.
  m_cluster->m_databases["g0-db2"].status.received =
      m_cluster->m_databases["g0-db1"].status.received;
  CutOff(2, true);
  m_cluster->m_databases["g0-db1"].draining = true;
  m_cluster->RunFor(absl::Seconds(5));
  CHECK(m_cluster->wrong_acknowledgements == 0);
}

// An instance that learns of the return from the others, and cannot read the
// store itself, took itself to be the only member after 1.5 s.
TEST_CASE_FIXTURE(StoreReturnFixture,
                  "StoreReturn_InstanceCannotReadTheStore_CountDoesNotDrop") {
  Start(6);
  const FakeTable copy = m_cluster->m_table;
  m_cluster->At(1).store.SetDown(true);
  m_cluster->m_table.ReturnTo(copy);
  size_t lowest = 6;
  for (int step = 0; step < 1000; ++step) {
    m_cluster->m_loop.RunFor(absl::Milliseconds(5));
    lowest = std::min(lowest, m_cluster->At(1).Manager().MemberCount());
  }
  CHECK(m_cluster->At(1).Manager().View().Era() == 1);
  CHECK(lowest == 6);
}

// The second return came before the members had registered after the first.
TEST_CASE_FIXTURE(StoreReturnFixture,
                  "StoreReturn_TwiceAtOnce_MemberCountDoesNotDrop") {
  for (int gap = 5; gap <= 60; gap += 5) {
    CAPTURE(gap);
    Start(6);
    const FakeTable copy = m_cluster->m_table;
    m_cluster->m_table.ReturnTo(copy);
    m_cluster->m_loop.RunFor(absl::Milliseconds(gap));
    m_cluster->m_table.ReturnTo(copy);
    size_t lowest = 6;
    for (int step = 0; step < 400; ++step) {
      m_cluster->m_loop.RunFor(absl::Milliseconds(5));
      for (size_t index = 0; index < 6; ++index) {
        lowest = std::min(lowest, m_cluster->At(index).Manager().MemberCount());
      }
    }
    CHECK(lowest == 6);
  }
}

// An instance whose row had been removed while it was cut off took its place in
// the earlier era's table into the new one. Members that had joined after the
// removal were then taken to know it, and their unanimity was not waited for.
TEST_CASE_FIXTURE(StoreReturnFixture,
                  "StoreReturn_RowWasRemovedBefore_UnanimityIsWaitedFor") {
  for (const bool returns : {false, true}) {
    CAPTURE(returns);
    Start(2);
    m_cluster->At(1).store.SetDown(true);
    m_cluster->At(1).isolated = true;
    // The change removes the row of i1.
    m_cluster->At(0).unreachable.insert("g0-db0");
    m_cluster->RunFor(absl::Seconds(8));
    REQUIRE(m_cluster->At(0).Manager().UsablePrimary("g0") == "g0-db1");
    REQUIRE_FALSE(m_cluster->At(0).Manager().View().Members().contains("i1"));
    m_cluster->AddInstance("u0");
    m_cluster->AddInstance("u1");
    m_cluster->RunFor(absl::Seconds(2));
    m_cluster->At(0).Manager().Stop([]() {});
    m_cluster->RunFor(absl::Seconds(3));
    m_cluster->Kill("i0");
    const FakeTable copy = m_cluster->m_table;
    // u0, u1 and the primary are cut off from the store and from i1.
    for (const std::string name : {"u0", "u1"}) {
      m_cluster->Find(name)->store.SetDown(true);
      m_cluster->Find(name)->partition = 1;
    }
    m_cluster->RunFor(absl::Seconds(1));
    if (returns) {
      m_cluster->m_table.ReturnTo(copy);
    }
    m_cluster->At(1).store.SetDown(false);
    m_cluster->At(1).isolated = false;
    m_cluster->At(1).unreachable.insert("g0-db1");
    m_cluster->RunFor(absl::Seconds(20));
    CHECK(m_cluster->Find("u0")->Manager().UsablePrimary("g0") == "g0-db1");
    CHECK(m_cluster->wrong_acknowledgements == 0);
  }
}

// A group whose last target is answered late, as to an instance that is
// suspended while it asks.
class LateStatuses : public GroupAccess {
 public:
  explicit LateStatuses(VirtualLoop* loop) : m_loop(loop) {}

  std::vector<GroupName> Groups() const override { return {"g"}; }
  std::vector<ListedTarget> Targets(const GroupName& group) const override {
    std::vector<ListedTarget> targets(2);
    for (size_t index = 0; index < targets.size(); ++index) {
      targets[index].id = absl::StrCat("db", index);
      targets[index].group = group;
      targets[index].claims_primary = index == 0;
    }
    return targets;
  }
  absl::Time LastContact(const GroupName&, const TargetId&) const override {
    return absl::InfinitePast();
  }
  void QueryStatus(
      const GroupName&,
      const TargetId& target,
      absl::Duration,
      std::function<void(std::optional<TargetStatus>)> done) override {
    TargetStatus status;
    status.primary = target == "db0";
    status.term = 2;
    // The status is that of the time of the query.
    m_loop->Add(target == "db0" ? absl::Milliseconds(3) : late,
                [status, done = std::move(done)]() { done(status); });
  }
  uint32_t SyncReplicas(const GroupName&) const override { return 0; }
  void Quiesce(const GroupName&, bool, std::function<void()> done) override {
    done();
  }
  void OnLeaderChanged(const GroupName&) override {}

  absl::Duration late = absl::Milliseconds(3);

 private:
  VirtualLoop* const m_loop;
};

// An order can take effect after a target has stated that it leads. Its status
// then proves nothing, although all orders have ended when the last target's
// status arrives.
TEST_CASE("FirstLeader_OrdersEndWhileTargetsAreAsked_IsNotPublished") {
  VirtualLoop loop;
  FakeTable table;
  FakeRowStore store(&loop, &table);
  LateStatuses groups(&loop);
  LeadershipView view("i0", 1);
  RowChanges read;
  read.version = 1;
  read.snapshot = true;
  read.as_of = loop.Now();
  view.Apply(read, loop.Now());
  bool change_started = false;
  FirstLeader first_leader(
      "i0", 1, &loop, &store, &groups, &view, "table",
      [](const GroupName&) { return std::vector<TargetRun>(); },
      [&change_started](const GroupName&, const GroupLeader&) {
        change_started = true;
      });
  groups.late = absl::Seconds(6);
  first_leader.Propose("g", absl::ZeroDuration());
  loop.RunFor(absl::Seconds(7));
  CHECK(table.rows.empty());
  CHECK_FALSE(change_started);
}

// A member that left in one era and joined again in the next has a lease of the
// later one. A started instance took it for a member that had left, so that its
// changes did not wait for it.
TEST_CASE("EarlierRows_MemberLeftInEarlierEraAndJoinedAgain_IsWaitedFor") {
  LeadershipView view("i0", 1);
  const absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  view.BeginEra(3, now);
  MemberRow member{2, "i1", 0, 0, "dc", 1};
  RowChanges read;
  read.version = QualifyVersion(3, 9);
  read.snapshot = true;
  read.as_of = now;
  read.earlier_rows = {
      {LeadershipView::ConfirmationKey("i1"),
       LeadershipView::EncodeLeaving(1, {}), QualifyVersion(1, 5), false},
      {LeadershipView::MemberKey("i1"), LeadershipView::EncodeMember(member),
       QualifyVersion(2, 8), false},
      {LeadershipView::ConfirmationKey("i1"),
       LeadershipView::EncodeConfirmation(2, {}), QualifyVersion(2, 8), false}};
  view.Apply(read, now);
  CHECK(view.Departed().contains("i1"));
}

// One message that names an era which the store has not reached must not keep
// the instances from the primary for good.
TEST_CASE_FIXTURE(StoreReturnFixture,
                  "Vouch_EraThatTheStoreHasNotReached_InstancesServeAgain") {
  Start(3);
  VouchQuery query;
  query.instance = "i1";
  query.leaders_version = QualifyVersion(7, 0);
  m_cluster->At(0).Manager().Vouch(query);
  m_cluster->RunFor(absl::Seconds(30));
  CHECK(m_cluster->AllUse("g0", "g0-db0"));
}

// Returns to copies of random age, restarts, cuts and deaths of primaries, in
// random order.
class RandomReturns : public StoreReturnFixture {
 protected:
  void Run(uint32_t seed) {
    m_random.seed(seed);
    Start(4, 2);
    m_copies = {m_cluster->m_table};
    const absl::Time end = m_cluster->m_loop.Now() + absl::Seconds(60);
    while (m_cluster->m_loop.Now() < end) {
      m_cluster->RunFor(absl::Milliseconds(50 + Below(700)));
      m_copies.push_back(m_cluster->m_table);
      Disturb();
    }
    for (size_t index = 0; index < 4; ++index) {
      LeadershipCluster::Instance& instance = m_cluster->At(index);
      instance.store.SetDown(false);
      instance.isolated = false;
      instance.partition = 0;
      instance.unreachable.clear();
    }
    for (auto& [id, database] : m_cluster->m_databases) {
      database.alive = true;
      database.draining = false;
    }
    m_cluster->sync_replicas = 0;
    m_cluster->order_fate = nullptr;
    m_cluster->RunFor(absl::Seconds(25));
    CHECK(m_cluster->wrong_acknowledgements == 0);
    for (const std::string group : {"g0", "g1"}) {
      size_t in_use = 0;
      for (const std::string database : {"-db0", "-db1", "-db2"}) {
        in_use += m_cluster->AllUse(group, group + database) ? 1 : 0;
      }
      CHECK_MESSAGE(in_use == 1, group, " has no primary in use");
    }
  }

 private:
  uint32_t Below(uint32_t limit) { return m_random() % limit; }

  // Cuts a site with some instances and two targets off from the store and the
  // other instances, or ends the cut.
  void CutSite() {
    const bool cut = Below(3) > 0;
    for (size_t index = 0; index < 4; ++index) {
      LeadershipCluster::Instance& instance = m_cluster->At(index);
      const bool inside = cut && Below(2) == 0;
      instance.partition = inside ? 1 : 0;
      instance.store.SetDown(inside);
      instance.unreachable.clear();
      for (const std::string target :
           {"g0-db0", "g0-db1", "g1-db0", "g1-db1"}) {
        const bool target_inside = target == "g0-db0" || target == "g1-db1";
        if (cut && inside != target_inside) {
          instance.unreachable.insert(target);
        }
      }
    }
  }

  void Disturb() {
    const std::string name = absl::StrCat("i", Below(4));
    LeadershipCluster::Instance& instance = *m_cluster->Find(name);
    const TargetId target = absl::StrCat("g", Below(2), "-db", Below(3));
    switch (Below(16)) {
      case 10:
      case 11:
        CutSite();
        m_cluster->RunFor(absl::Milliseconds(Below(4000)));
        break;
      case 12:
        m_cluster->m_databases[target].draining = Below(2) == 0;
        break;
      case 13:
        // An orderly stop, followed by a start under the same name.
        instance.Manager().Stop([]() {});
        m_cluster->RunFor(absl::Milliseconds(Below(1200)));
        m_cluster->AddInstance(name);
        break;
      case 14: {
        const FakeTable copy = m_copies.back();
        m_cluster->ReturnStore(copy, absl::Milliseconds(Below(300)));
        m_cluster->RunFor(absl::Milliseconds(Below(1500)));
        const FakeTable second = Below(2) == 0 ? copy : m_cluster->m_table;
        m_cluster->ReturnStore(second, absl::Milliseconds(Below(300)));
        break;
      }
      case 15:
        m_cluster->sync_replicas = Below(2);
        break;
      case 0:
      case 1: {
        const size_t age = std::min<size_t>(m_copies.size(), 1 + Below(12));
        const FakeTable copy = m_copies[m_copies.size() - age];
        m_copies.resize(m_copies.size() - age + 1);
        m_cluster->ReturnStore(copy, absl::Milliseconds(Below(1500)));
        break;
      }
      case 2:
        m_cluster->AddInstance(name);
        break;
      case 3:
        if (Below(3) == 0) {
          m_cluster->RestartAll();
        }
        break;
      case 4:
        instance.store.SetDown(!instance.isolated);
        instance.isolated = !instance.isolated;
        break;
      case 5:
        instance.store.SetDown(Below(2) == 0);
        break;
      case 6:
      case 7:
        SetReachable(target, Below(2) == 0);
        break;
      case 8:
        instance.store.LoseNextAnswer(absl::Milliseconds(Below(3000)));
        break;
      default: {
        const absl::Duration delay = absl::Milliseconds(100 + Below(2500));
        const bool answered = Below(4) > 0;
        m_cluster->order_fate = [delay, answered](const TargetId&) {
          return OrderFate{delay, answered};
        };
        break;
      }
    }
  }

  std::mt19937 m_random;
  std::vector<FakeTable> m_copies;
};

TEST_CASE_FIXTURE(RandomReturns, "StoreReturn_RandomFaults_OnePrimaryIsUsed") {
  const SeedRange seeds = SeedsFromEnvironment();
  for (uint32_t seed = seeds.first; seed <= seeds.last; ++seed) {
    CAPTURE(seed);
    Run(seed);
  }
}

}  // namespace
}  // namespace heatherwick
