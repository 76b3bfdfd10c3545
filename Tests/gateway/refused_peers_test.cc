// Guards against an instance that goes on using a primary because its peers
// cannot be reached: a refused connection does not show that no process runs.
// LeadershipCluster checks all the time that no instance may acknowledge writes
// of a primary that has been replaced.

#include <algorithm>
#include <array>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "Tests/gateway/leadership_cluster.h"
#include "Tests/gateway/seed_range.h"
#include "absl/strings/str_cat.h"
#include "doctest/doctest.h"

namespace heatherwick {
namespace {

class RefusedPeersFixture {
 protected:
  static constexpr size_t kInstances = 4;

  RefusedPeersFixture() : m_cluster(kInstances, 2) {
    m_cluster.RunFor(absl::Seconds(3));
    REQUIRE(m_cluster.AllUse("g0", "g0-db0"));
    REQUIRE(m_cluster.AllUse("g1", "g1-db0"));
  }

  // Cuts the instance off from the store.
  void LoseStore(size_t index) { m_cluster.At(index).store.SetDown(true); }
  // All primaries are replaced by an instance that reads the store.
  void DrainPrimaries() {
    for (const char* id : {"g0-db0", "g1-db0"}) {
      m_cluster.m_databases[id].draining = true;
    }
  }
  bool LeaseValid(size_t index) {
    return m_cluster.At(index).Manager().LeaseValid();
  }

  LeadershipCluster m_cluster;
};

TEST_CASE_FIXTURE(RefusedPeersFixture,
                  "RefusedPeers_InstanceWithoutStore_LosesItsLease") {
  LoseStore(0);
  m_cluster.At(0).refused = true;
  m_cluster.RunFor(absl::Seconds(1));
  DrainPrimaries();
  m_cluster.RunFor(absl::Seconds(20));
  CHECK(m_cluster.promoted.size() == 2);
  CHECK_FALSE(LeaseValid(0));
  CHECK(m_cluster.At(0).Manager().LeasesLost() == 1);
  CHECK(m_cluster.At(0).Manager().LeasesExtendedByUnanimity() == 0);
}

// All groups are served by the replaced primaries at the moment at which the
// links return, until the instance has read the store.
TEST_CASE_FIXTURE(
    RefusedPeersFixture,
    "RefusedPeers_LinksReturnAfterChanges_NoReplacedPrimaryUsed") {
  LoseStore(0);
  m_cluster.At(0).refused = true;
  m_cluster.RunFor(absl::Seconds(1));
  DrainPrimaries();
  m_cluster.RunFor(absl::Seconds(8));
  REQUIRE(m_cluster.promoted.size() == 2);
  m_cluster.At(0).store.SetDown(false);
  m_cluster.At(0).refused = false;
  CHECK_FALSE(m_cluster.At(0).Manager().UsablePrimary("g0") == "g0-db0");
  CHECK_FALSE(m_cluster.At(0).Manager().UsablePrimary("g1") == "g1-db0");
  m_cluster.RunFor(absl::Seconds(3));
  CHECK(LeaseValid(0));
}

// All peers really end, and go on refusing the instance after they have started
// again and read the store.
TEST_CASE_FIXTURE(RefusedPeersFixture,
                  "RefusedPeers_PeersStartAgain_InstanceLosesItsLease") {
  LoseStore(0);
  for (const char* peer : {"i1", "i2", "i3"}) {
    m_cluster.Kill(peer);
  }
  m_cluster.RunFor(absl::Milliseconds(1500));
  m_cluster.At(0).refused = true;
  for (const char* peer : {"i1", "i2", "i3"}) {
    m_cluster.AddInstance(peer);
  }
  m_cluster.RunFor(absl::Seconds(1));
  DrainPrimaries();
  m_cluster.RunFor(absl::Seconds(12));
  CHECK(m_cluster.promoted.size() == 2);
  CHECK_FALSE(LeaseValid(0));
}

// Peers that are silent are no reason to go on, either.
TEST_CASE_FIXTURE(RefusedPeersFixture,
                  "SilentPeers_InstanceWithoutStore_LosesItsLease") {
  LoseStore(0);
  m_cluster.At(0).isolated = true;
  m_cluster.RunFor(absl::Seconds(1));
  DrainPrimaries();
  m_cluster.RunFor(absl::Seconds(20));
  CHECK(m_cluster.promoted.size() == 2);
  CHECK_FALSE(LeaseValid(0));
}

// The store is away for all, and one process ends and starts again. Whoever
// answers is counted, so that primaries stay in use.
TEST_CASE_FIXTURE(RefusedPeersFixture,
                  "RefusedPeers_PeerRestartsInOutageOfStore_LeaseIsKept") {
  for (size_t index = 0; index < kInstances; ++index) {
    LoseStore(index);
  }
  m_cluster.RunFor(absl::Seconds(3));
  m_cluster.Kill("i3");
  m_cluster.RunFor(absl::Seconds(1));
  m_cluster.starts_without_store = true;
  m_cluster.AddInstance("i3");
  m_cluster.RunFor(absl::Seconds(10));
  for (const size_t index : {0, 1, 2}) {
    CHECK(LeaseValid(index));
    CHECK(m_cluster.At(index).Manager().LeasesLost() == 0);
    CHECK(m_cluster.At(index).Manager().LeasesExtendedByUnanimity() > 0);
  }
}

// A link that refuses, in one direction or both, shows nothing about the
// process behind it, whatever else fails at the same time.
TEST_CASE("RefusedPeers_RandomLinks_NoReplacedPrimaryUsed") {
  constexpr uint32_t kGroups = 3;
  constexpr uint32_t kDatabases = 3;  // In each group.
  const SeedRange seeds = SeedsFromEnvironment();
  for (uint32_t seed = seeds.first; seed <= seeds.last; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    const auto below = [&random](uint32_t limit) { return random() % limit; };
    const uint32_t instances = 3 + seed % 3;
    LeadershipCluster cluster(instances, kGroups);
    cluster.RunFor(absl::Seconds(3));
    const auto set_link = [&cluster](const std::string& from,
                                     const std::string& to,
                                     std::optional<LinkFault> fault) {
      cluster.link_faults.erase({from, to});
      if (fault && from != to) {
        cluster.link_faults[{from, to}] = *fault;
      }
    };
    for (int step = 0; step < 50; ++step) {
      const uint32_t action = below(12);
      const uint32_t instance_index = below(instances);
      const uint32_t peer_index = below(instances);
      const uint32_t fault_index = below(5);
      const uint32_t direction = below(3);
      const bool loses_store = below(2) == 0;
      const uint32_t group_index = below(kGroups);
      const uint32_t database_index = below(kDatabases);
      const uint32_t restart_ms = 100 + below(3901);
      const uint32_t pause_ms = below(1500);
      const std::string name = absl::StrCat("i", instance_index);
      const std::string peer = absl::StrCat("i", peer_index);
      const LinkFault fault = fault_index < 3    ? LinkFault::kRefused
                              : fault_index == 3 ? LinkFault::kSilent
                                                 : LinkFault::kAnswersLost;
      // Null while the instance does not run.
      LeadershipCluster::Instance* const instance = cluster.Find(name);
      FakeDatabase& database = cluster.m_databases.at(
          absl::StrCat("g", group_index, "-db", database_index));
      const auto set_links = [&](const std::string& other,
                                 std::optional<LinkFault> present) {
        if (direction != 0) {
          set_link(name, other, present);
        }
        if (direction != 1) {
          set_link(other, name, present);
        }
      };
      switch (action) {
        case 0:
        case 1:
          set_links(peer, fault);
          break;
        case 2:
        case 3:
        case 4:
          for (uint32_t index = 0; index < instances; ++index) {
            set_links(absl::StrCat("i", index), fault);
          }
          if (instance != nullptr && loses_store) {
            instance->store.SetDown(true);
          }
          break;
        case 5:
          for (uint32_t index = 0; index < instances; ++index) {
            set_links(absl::StrCat("i", index), std::nullopt);
          }
          break;
        case 6:
          if (instance != nullptr) {
            instance->store.SetDown(true);
          }
          break;
        case 7:
          if (instance != nullptr) {
            instance->store.SetDown(false);
          }
          break;
        case 8:
          if (instance != nullptr) {
            cluster.Kill(name);
            cluster.m_loop.Add(
                absl::Milliseconds(restart_ms),
                [&cluster, name]() { cluster.AddInstance(name); });
          }
          break;
        case 9:
          database.alive = !database.alive;
          break;
        default:
          database.draining = !database.draining;
          break;
      }
      cluster.RunFor(absl::Milliseconds(pause_ms));
    }
    // Once the faults end, all instances agree on one primary.
    cluster.link_faults.clear();
    cluster.RunFor(absl::Seconds(4));
    for (auto& [id, database] : cluster.m_databases) {
      database.alive = true;
      database.draining = false;
    }
    for (uint32_t index = 0; index < instances; ++index) {
      cluster.At(index).store.SetDown(false);
    }
    cluster.RunFor(absl::Seconds(40));
    for (uint32_t group_index = 0; group_index < kGroups; ++group_index) {
      const GroupName group = absl::StrCat("g", group_index);
      const std::optional<TargetId> primary =
          cluster.At(0).Manager().UsablePrimary(group);
      REQUIRE(primary.has_value());
      CHECK(cluster.AllUse(group, *primary));
    }
  }
}

// Guards against a reading that looks younger than it is, by less than the
// holder's margin, and so lets a member outlast the wait of a holder.
TEST_CASE("LatePolls_AsOfTooNewByLessThanMargin_NoReplacedPrimaryUsed") {
  for (const int late_ms : {100, 300, 1000}) {
    for (int cut_ms = 0; cut_ms < 1400; cut_ms += 20) {
      CAPTURE(late_ms);
      CAPTURE(cut_ms);
      LeadershipCluster cluster(3, 2);
      cluster.RunFor(absl::Seconds(3));
      // No change waits for a replica to catch up.
      cluster.m_databases["g0-db1"].status.received = {1, 10};
      cluster.m_databases["g1-db1"].status.received = {1, 10};
      cluster.At(0).store.SetPollDelay(absl::Milliseconds(late_ms));
      cluster.At(0).store.SetAsOfError(absl::Milliseconds(90));
      cluster.RunFor(absl::Seconds(3));
      cluster.m_loop.RunFor(absl::Milliseconds(cut_ms));
      cluster.At(0).store.SetDown(true);
      cluster.At(0).isolated = true;
      cluster.m_databases["g0-db0"].draining = true;
      cluster.m_databases["g1-db0"].draining = true;
      cluster.RunFor(absl::Seconds(6));
      CHECK(cluster.promoted.size() == 2);
    }
  }
}

// Replaced primaries come back as replicas that can be promoted again.
void FollowLeading(LeadershipCluster* cluster) {
  for (auto& [id, database] : cluster->m_databases) {
    const TargetId& leading = cluster->Leading(database.group);
    if (id != leading) {
      database.status = cluster->m_databases.at(leading).status;
      database.status.primary = false;
    }
  }
}

// Guards against a process that goes on after a stop and handles old timers and
// answers as if they were new.
TEST_CASE("ProcessStandsStill_GroupsChange_NoReplacedPrimaryUsed") {
  constexpr uint32_t kGroups = 3;
  const SeedRange seeds = SeedsFromEnvironment();
  for (uint32_t seed = seeds.first; seed <= seeds.last; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    const auto below = [&random](uint32_t limit) { return random() % limit; };
    const uint32_t instances = 3 + seed % 3;
    LeadershipCluster cluster(instances, kGroups);
    cluster.RunFor(absl::Seconds(3));
    for (int round = 0; round < 8; ++round) {
      const std::string name = absl::StrCat("i", below(instances));
      const std::string other = absl::StrCat("i", below(instances));
      const uint32_t before_ms = below(4000);
      const uint32_t still_ms = 3000 + below(9001);
      const uint32_t poll_delay_ms = below(400);
      const bool loses_store = below(3) == 0;
      const bool other_restarts = below(4) == 0;
      const bool link_fails = below(3) == 0;
      const uint32_t fault_index = below(3);
      const bool changes_before = below(2) == 0;
      const auto change_groups = [&]() {
        for (uint32_t group = 0; group < kGroups; ++group) {
          const uint32_t kind = below(4);
          const uint32_t gap_ms = below(1000);
          const std::optional<TargetId> primary =
              cluster.Find(other)->Manager().UsablePrimary(
                  absl::StrCat("g", group));
          if (primary && kind == 0) {
            cluster.m_databases.at(*primary).alive = false;
          } else if (primary && kind < 3) {
            cluster.m_databases.at(*primary).draining = true;
          }
          cluster.RunFor(absl::Milliseconds(gap_ms));
        }
      };
      cluster.Find(name)->store.SetPollDelay(absl::Milliseconds(poll_delay_ms));
      cluster.RunFor(absl::Milliseconds(before_ms));
      if (changes_before) {
        change_groups();  // It can be a holder when it stops.
      }
      cluster.Find(name)->StandStill();
      cluster.RunFor(absl::Milliseconds(poll_delay_ms));
      change_groups();
      if (other != name && other_restarts) {
        cluster.AddInstance(other);
      }
      if (other != name && link_fails) {
        cluster.link_faults[{name, other}] =
            std::array{LinkFault::kRefused, LinkFault::kSilent,
                       LinkFault::kAnswersLost}[fault_index];
      }
      cluster.Find(name)->store.SetDown(loses_store);
      cluster.RunFor(absl::Milliseconds(still_ms));
      cluster.Find(name)->GoOn(&random);
      for (int step = 0; step < 200; ++step) {
        cluster.m_loop.RunFor(absl::Milliseconds(5));
        cluster.CheckAcknowledgements();
      }
      cluster.Find(name)->store.SetDown(false);
      cluster.link_faults.clear();
      for (auto& [id, database] : cluster.m_databases) {
        database.alive = true;
        database.draining = false;
      }
      cluster.RunFor(absl::Seconds(4));  // Orders in flight end.
      FollowLeading(&cluster);
    }
    // Groups change in all rounds.
    CHECK(cluster.promoted.size() >= 8);
    cluster.RunFor(absl::Seconds(40));
    for (uint32_t group_index = 0; group_index < kGroups; ++group_index) {
      const GroupName group = absl::StrCat("g", group_index);
      const std::optional<TargetId> primary =
          cluster.At(0).Manager().UsablePrimary(group);
      REQUIRE(primary.has_value());
      CHECK(cluster.AllUse(group, *primary));
    }
  }
}

// Guards against a first leader that is chosen among the targets that happen to
// be listed. A replaced primary still claims to lead in an earlier term.
TEST_CASE("FirstLeader_TargetsListedOneByOne_LeaderOfHighestTermUsed") {
  for (const bool replaced_claims : {false, true}) {
    for (const int gap_ms : {150, 700, 1500}) {
      std::array<int, 3> order = {0, 1, 2};
      do {
        CAPTURE(replaced_claims);
        CAPTURE(gap_ms);
        CAPTURE(order[0]);
        CAPTURE(order[1]);
        LeadershipCluster cluster(4, 2);
        for (auto& [id, database] : cluster.m_databases) {
          const uint64_t term = database.group == "g0" ? 3 : 4;
          database.listed = false;
          database.status.term = term;
          database.status.received.term = term;
        }
        if (replaced_claims) {
          for (const char* id : {"g0-db1", "g1-db1"}) {
            TargetStatus& status = cluster.m_databases.at(id).status;
            status.primary = true;
            --status.term;
            --status.received.term;
          }
        }
        for (const int index : order) {
          cluster.RunFor(absl::Milliseconds(gap_ms));
          for (const char* group : {"g0", "g1"}) {
            cluster.m_databases.at(absl::StrCat(group, "-db", index)).listed =
                true;
          }
        }
        cluster.RunFor(absl::Seconds(60));
        CHECK(cluster.AllUse("g0", "g0-db0"));
        CHECK(cluster.AllUse("g1", "g1-db0"));
        CHECK(cluster.promoted.empty());
      } while (std::next_permutation(order.begin(), order.end()));
    }
  }
}

// Guards against a member that another group's change removed while it was cut
// off, and that uses its old rows when it returns, in any group.
TEST_CASE("MemberRemoved_ReturnsDuringOtherChanges_NoReplacedPrimaryUsed") {
  for (const bool refuses : {false, true}) {
    for (int return_ms = 0; return_ms < 6000; return_ms += 100) {
      CAPTURE(refuses);
      CAPTURE(return_ms);
      LeadershipCluster cluster(4, 3);
      for (const char* replica : {"g0-db1", "g1-db1", "g2-db1"}) {
        cluster.m_databases[replica].status.received = {1, 10};
      }
      cluster.RunFor(absl::Seconds(3));
      LeadershipCluster::Instance& member = cluster.At(0);
      member.store.SetDown(true);
      member.refused = refuses;
      member.isolated = !refuses;
      cluster.m_databases["g0-db0"].draining = true;
      const LeadershipView& view = cluster.At(1).Manager().View();
      for (int step = 0; step < 200 && view.Members().contains("i0"); ++step) {
        cluster.RunFor(absl::Milliseconds(50));
      }
      REQUIRE_FALSE(view.Members().contains("i0"));
      cluster.m_databases["g1-db0"].draining = true;
      cluster.m_databases["g2-db0"].alive = false;
      cluster.RunFor(absl::Milliseconds(return_ms));
      member.store.SetDown(false);
      member.refused = false;
      member.isolated = false;
      for (int step = 0; step < 600; ++step) {
        cluster.CheckAcknowledgements();
        for (const char* group : {"g0", "g1", "g2"}) {
          const std::optional<TargetId> used =
              member.Manager().UsablePrimary(group);
          CHECK((!used || *used == cluster.Leading(group)));
        }
        cluster.m_loop.RunFor(absl::Milliseconds(5));
      }
      cluster.RunFor(absl::Seconds(6));
      CHECK(member.Manager().LeaseValid());
      CHECK(view.Members().contains("i0"));
      CHECK(cluster.promoted.size() == 3);
    }
  }
}

}  // namespace
}  // namespace heatherwick
