// Guards against an instance that goes on using a primary because its peers
// cannot be reached: a refused connection does not show that no process runs.
// LeadershipCluster checks all the time that no instance may acknowledge writes
// of a primary that has been replaced.

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
  m_cluster.AddInstance("i3");
  LoseStore(3);
  m_cluster.RunFor(absl::Seconds(10));
  for (const size_t index : {0, 1, 2}) {
    CHECK(LeaseValid(index));
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

}  // namespace
}  // namespace heatherwick
