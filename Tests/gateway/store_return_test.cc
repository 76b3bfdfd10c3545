// Tests in virtual time that instances keep to one primary when the store
// returns from an older copy, which lacks rows that it had acknowledged.
// LeadershipCluster checks all the time that no instance may acknowledge writes
// of a primary that has been replaced, and that fencing tokens never decrease.

#include <algorithm>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "Source/gateway/era_scoped_row_store.h"
#include "Tests/gateway/leadership_cluster.h"
#include "Tests/gateway/seed_range.h"
#include "absl/strings/match.h"
#include "doctest/doctest.h"
#include "nlohmann/json.hpp"

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
    m_cluster->order_fate = [](const TargetId&) {
      return OrderFate{absl::Milliseconds(2900), true};
    };
    SetReachable("g0-db0", false);
    while (m_cluster->promoted.empty()) {
      m_cluster->RunFor(absl::Milliseconds(5));
    }
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
  m_cluster->At(3).store.SetDown(true);
  m_cluster->At(3).isolated = true;
  m_cluster->m_table.ReturnTo(copy);
  m_cluster->m_databases["g0-db0"].alive = false;
  m_cluster->RunFor(absl::Seconds(8));
  CHECK(m_cluster->wrong_acknowledgements == 0);
  CHECK(m_cluster->At(0).Manager().UsablePrimary("g0") == "g0-db1");
  CHECK_FALSE(m_cluster->At(3).Manager().UsablePrimary("g0").has_value());
  m_cluster->At(3).store.SetDown(false);
  m_cluster->At(3).isolated = false;
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

// Members that register again would seem to have joined after each other, in
// another order than the one in which they came to know each other.
TEST_CASE_FIXTURE(StoreReturnFixture,
                  "StoreReturn_MembersRegister_KeepWhenTheyJoined") {
  Start(3);
  m_cluster->m_table.ReturnTo(FakeTable(m_cluster->m_table));
  m_cluster->RunFor(kFleetRecoveryTime);
  size_t members = 0;
  for (const auto& [key, row] : m_cluster->m_table.rows) {
    if (absl::StartsWith(key, EraScopedRowStore::StoredKey(1, "member/"))) {
      ++members;
      const auto joined = nlohmann::json::parse(row.value).at("joined");
      CHECK_MESSAGE(EraOf(joined.get<uint64_t>()) == 0, key);
    }
  }
  CHECK(members == 3);
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
  for (const auto& [key, row] : m_cluster->m_table.rows) {
    const uint64_t era = EraScopedRowStore::ParseKey(key).second;
    CHECK_MESSAGE((row.deleted || era == 2), key);
    rows += !row.deleted && era == 2 ? 1 : 0;
  }
  CHECK(rows > 3);
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
      instance.unreachable.clear();
    }
    for (auto& [id, database] : m_cluster->m_databases) {
      database.alive = true;
    }
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

  void Disturb() {
    const std::string name = absl::StrCat("i", Below(4));
    LeadershipCluster::Instance& instance = *m_cluster->Find(name);
    const TargetId target = absl::StrCat("g", Below(2), "-db", Below(3));
    switch (Below(10)) {
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
