// Tests that a change of primary whose orders had no visible effect ends with a
// primary that has its log, within a bounded time.

#include <memory>
#include <set>

#include "Tests/gateway/leadership_cluster.h"
#include "doctest/doctest.h"

namespace heatherwick {
namespace {

class PromotionRecoveryFixture {
 protected:
  void Start(size_t databases) {
    m_cluster = std::make_unique<LeadershipCluster>(3, 1);
    if (databases == 2) {
      m_cluster->m_databases.erase("g0-db2");
    }
    m_cluster->RunFor(absl::Seconds(3));
    REQUIRE(m_cluster->AllUse("g0", "g0-db0"));
  }

  void SetUnreachable(const std::set<TargetId>& targets) {
    for (size_t index = 0; index < 3; ++index) {
      m_cluster->At(index).unreachable = targets;
    }
  }

  void RunUntilOrdered(const TargetId& target) {
    for (int step = 0; step < 4000 && (m_cluster->promoted.empty() ||
                                       m_cluster->promoted.back() != target);
         ++step) {
      m_cluster->RunFor(absl::Milliseconds(5));
    }
    REQUIRE(m_cluster->promoted.back() == target);
  }

  std::unique_ptr<LeadershipCluster> m_cluster;
};

// The promoted target was lost before it was published. The old primary, which
// follows it as a replica or still claims to lead, is all that is left.
TEST_CASE_FIXTURE(
    PromotionRecoveryFixture,
    "PromotionRecovery_PromotedTargetIsLost_OldPrimaryLeadsAgain") {
  for (const bool deposed : {false, true}) {
    CAPTURE(deposed);
    Start(2);
    m_cluster->m_databases["g0-db0"].alive = false;
    RunUntilOrdered("g0-db1");
    SetUnreachable({"g0-db1"});
    m_cluster->RunFor(absl::Milliseconds(1100));
    m_cluster->m_databases["g0-db1"].alive = false;
    m_cluster->m_databases["g0-db1"].listed = false;
    FakeDatabase& old_primary = m_cluster->m_databases["g0-db0"];
    old_primary.alive = true;
    if (deposed) {
      old_primary.status.primary = false;
      old_primary.status.term = 2;
    }
    m_cluster->RunFor(absl::Seconds(18));
    CHECK(m_cluster->AllUse("g0", "g0-db0"));
  }
}

// A target that restarted without its log must not be ordered once more, even
// though an earlier order for it may still take effect.
TEST_CASE_FIXTURE(
    PromotionRecoveryFixture,
    "PromotionRecovery_OrderedTargetLosesItsLog_IsNotOrderedAgain") {
  for (const uint32_t sync_replicas : {0, 1}) {
    CAPTURE(sync_replicas);
    Start(3);
    m_cluster->sync_replicas = sync_replicas;
    m_cluster->order_fate = [](const TargetId&) {
      return OrderFate{absl::InfiniteDuration(), false};
    };
    SetUnreachable({"g0-db0"});
    RunUntilOrdered("g0-db1");
    SetUnreachable({"g0-db1", "g0-db2"});
    RunUntilOrdered("g0-db0");
    FakeDatabase& restarted = m_cluster->m_databases["g0-db0"];
    restarted.status = TargetStatus{};
    restarted.started_unix_ms = 2;
    SetUnreachable({});
    const size_t ordered_before = m_cluster->promoted.size();
    m_cluster->RunFor(absl::Seconds(8));
    REQUIRE(m_cluster->promoted.size() > ordered_before);
    for (size_t index = ordered_before; index < m_cluster->promoted.size();
         ++index) {
      CHECK(m_cluster->promoted[index] != "g0-db0");
    }
  }
}

// The platform refuses connections. The old primary was silent for a moment
// only, and nobody can have replaced it.
TEST_CASE_FIXTURE(PromotionRecoveryFixture,
                  "PromotionRecovery_NoOrderWasSent_OldPrimaryLeadsAgain") {
  Start(3);
  m_cluster->order_fate = [](const TargetId&) {
    return OrderFate{absl::InfiniteDuration(), true, false, true};
  };
  SetUnreachable({"g0-db0"});
  RunUntilOrdered("g0-db1");
  SetUnreachable({});
  m_cluster->RunFor(absl::Seconds(3));
  CHECK(m_cluster->AllUse("g0", "g0-db0"));
}

// An order arrives after its time, between two looks at an old primary that
// cannot reach its successor and goes on claiming to lead.
TEST_CASE_FIXTURE(
    PromotionRecoveryFixture,
    "PromotionRecovery_OrderArrivesLate_DeposedPrimaryIsNotUsed") {
  Start(2);
  m_cluster->decided_when_ordered = true;
  m_cluster->order_fate = [](const TargetId& target) {
    return OrderFate{absl::Milliseconds(target == "g0-db1" ? 6500 : 1000),
                     target != "g0-db1"};
  };
  SetUnreachable({"g0-db0"});
  RunUntilOrdered("g0-db1");
  SetUnreachable({"g0-db1"});
  m_cluster->RunFor(absl::Seconds(18));
  CHECK(m_cluster->wrong_acknowledgements == 0);
  CHECK(m_cluster->AllUse("g0", "g0-db0"));
}

// An instance that missed the row in which an earlier version changed the
// primary must not take that row's unknown order for an old one.
TEST_CASE("LeadershipView_UnknownOrderOfMissedRow_CountsFromItsReading") {
  LeadershipView view("i0", 1);
  const auto apply = [&view](const std::string& value, uint64_t version,
                             absl::Time now) {
    RowChanges changes;
    changes.rows = {{LeadershipView::LeaderKey("g0"), value, version, false}};
    view.Apply(changes, now);
  };
  const absl::Time start = absl::UnixEpoch();
  apply(R"({"epoch":1,"open":true,"primary":"a","term":1,"holder":"i1",)"
        R"("incarnation":1,"planned":false})",
        5, start);
  const absl::Time later = start + absl::Hours(1);
  apply(R"({"epoch":3,"open":false,"primary":"a","term":1,"holder":"i2",)"
        R"("incarnation":1,"planned":false,"orders":1,"ordered":"",)"
        R"("ordered_after":0,"recorded_after":0})",
        9, later);
  CHECK(view.Leader("g0").orders.count == 1);
  CHECK(view.Leader("g0").orders_seen == later);
}

}  // namespace
}  // namespace heatherwick
