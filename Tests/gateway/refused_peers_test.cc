// Guards against an instance that goes on using a primary because its peers
// cannot be reached: a refused connection does not show that no process runs.
// LeadershipCluster checks all the time that no instance may acknowledge writes
// of a primary that has been replaced.

#include <memory>

#include "Tests/gateway/leadership_cluster.h"
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
  m_cluster.AddInstance("i3");
  LoseStore(3);
  m_cluster.RunFor(absl::Seconds(10));
  for (const size_t index : {0, 1, 2}) {
    CHECK(LeaseValid(index));
    CHECK(m_cluster.At(index).Manager().LeasesLost() == 0);
    CHECK(m_cluster.At(index).Manager().LeasesExtendedByUnanimity() > 0);
  }
}

}  // namespace
}  // namespace heatherwick
