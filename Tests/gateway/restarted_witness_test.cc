// Guards against a lease that is extended by answers of members that have
// started again: they no longer know of the change that their earlier runs have
// confirmed or carried out.

#include <algorithm>
#include <memory>
#include <string>

#include "Source/base/hash.h"
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

  // The name of an instance that starts changes of g0 before i1 does.
  static std::string NameOfHolder() {
    const uint64_t seed = StableHash("g0");
    for (int number = 2;; ++number) {
      std::string name = absl::StrCat("i", number);
      if (StableHash(name, seed) <
          std::min(StableHash("i0", seed), StableHash("i1", seed))) {
        return name;
      }
    }
  }
  // i1 ends and starts again without the store.
  void RestartWithoutStore() {
    m_cluster.starts_without_store = true;
    m_cluster.AddInstance("i1");
    m_cluster.starts_without_store = false;
  }

  LeadershipCluster m_cluster;
};

// The holder waits for one lease only, because i1 has confirmed the change and
// so does not agree with i0 any more. Its next run does.
TEST_CASE_FIXTURE(RestartedWitnessFixture,
                  "RestartedWitness_ConfirmedChange_DoesNotExtendLease") {
  const std::string holder = NameOfHolder();
  m_cluster.AddInstance(holder);
  m_cluster.RunFor(absl::Milliseconds(1500));
  REQUIRE(m_cluster.At(0).Manager().LeaseValid());
  m_cluster.m_databases["g0-db0"].draining = true;
  m_cluster.Find(holder)->partition = 1;
  m_cluster.At(1).partition = 1;
  const absl::Time limit = m_cluster.m_loop.Now() + absl::Seconds(2);
  while (m_cluster.At(1).Manager().UsablePrimary("g0") &&
         m_cluster.m_loop.Now() < limit) {
    m_cluster.RunFor(absl::Milliseconds(50));
  }
  m_cluster.RunFor(absl::Milliseconds(250));
  REQUIRE(m_cluster.At(0).Manager().LeaseValid());
  RestartWithoutStore();
  m_cluster.RunFor(absl::Seconds(8));
  CHECK(m_cluster.wrong_acknowledgements == 0);
  // Once i1 reads the store again, it disagrees, and the change is completed.
  m_cluster.At(1).store.SetDown(false);
  m_cluster.RunFor(absl::Seconds(10));
  CHECK(m_cluster.promoted.size() == 1);
  CHECK(m_cluster.wrong_acknowledgements == 0);
}

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
