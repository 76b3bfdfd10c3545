// Guards against a lease that is extended by answers of members that have
// started again: they no longer know of the change that their earlier runs have
// confirmed or carried out.

#include <memory>

#include "Tests/gateway/leadership_cluster.h"
#include "doctest/doctest.h"

namespace heatherwick {
namespace {

// i0 loses the store before another instance joins, which it therefore does not
// know. Of the members that it knows, only i1 runs.
class RestartedWitnessFixture {
 protected:
  RestartedWitnessFixture() : m_cluster(2, 2) {
    m_cluster.RunFor(absl::Seconds(3));
    REQUIRE(m_cluster.AllUse("g0", "g0-db0"));
    REQUIRE(m_cluster.AllUse("g1", "g1-db0"));
    m_cluster.At(0).store.SetDown(true);
    m_cluster.RunFor(absl::Milliseconds(100));
  }

  // i1 ends and starts again without the store.
  void RestartWithoutStore() {
    m_cluster.starts_without_store = true;
    m_cluster.AddInstance("i1");
    m_cluster.starts_without_store = false;
  }

  LeadershipCluster m_cluster;
};

// i1 replaces the primary of g0, which i0 misses, and starts again. Both are
// then told of a later change, of g1.
TEST_CASE_FIXTURE(RestartedWitnessFixture,
                  "RestartedWitness_KnowsLaterChangeOnly_DoesNotAgree") {
  m_cluster.AddInstance("i2");
  m_cluster.RunFor(absl::Milliseconds(1000));
  m_cluster.At(0).isolated = true;
  m_cluster.m_databases["g0-db0"].draining = true;
  m_cluster.RunFor(absl::Seconds(10));
  REQUIRE(m_cluster.promoted.size() == 1);
  REQUIRE_FALSE(m_cluster.At(0).Manager().LeaseValid());
  RestartWithoutStore();
  m_cluster.RunFor(absl::Seconds(2));
  m_cluster.At(0).isolated = false;
  m_cluster.m_databases["g1-db0"].draining = true;
  m_cluster.RunFor(absl::Seconds(6));
  CHECK_FALSE(m_cluster.At(0).Manager().LeaseValid());
  CHECK(m_cluster.wrong_acknowledgements == 0);
}

}  // namespace
}  // namespace heatherwick
