// Tests which targets count as holders of acknowledged commits.

#include "Source/gateway/replica_tracker.h"

#include "doctest/doctest.h"

namespace heatherwick {
namespace {

class ReplicaTrackerFixture {
 protected:
  void List(const TargetId& id, const std::string& address, int64_t started) {
    ListedTarget target;
    target.id = id;
    target.address = address;
    target.started_unix_ms = started;
    m_listed.push_back(target);
  }
  void UpdateAfter(absl::Duration time) {
    m_now += time;
    m_tracker.Update(
        m_listed, [this](absl::Time) { return m_primary_position; }, m_now);
  }

  ReplicaTracker m_tracker;
  std::vector<ListedTarget> m_listed;
  std::optional<Position> m_primary_position;
  absl::Time m_now = absl::UnixEpoch();
};

// Guards against the promotion of a target without the commits of one that has
// just crashed and comes back with its log.
TEST_CASE_FIXTURE(ReplicaTrackerFixture,
                  "ReplicaTracker_TargetLeavesList_IsHolderForSomeTime") {
  List("a", "1", 1);
  List("b", "2", 1);
  UpdateAfter(absl::ZeroDuration());
  m_listed.pop_back();
  UpdateAfter(absl::Seconds(5));
  CHECK(m_tracker.Holders() == std::vector<TargetId>{"a", "b"});
  UpdateAfter(absl::Seconds(8));
  CHECK(m_tracker.Holders() == std::vector<TargetId>{"a"});
}

TEST_CASE_FIXTURE(ReplicaTrackerFixture,
                  "ReplicaTracker_TargetReplacedAtAddress_SuccessorHoldsLog") {
  List("a", "1", 1);
  UpdateAfter(absl::ZeroDuration());
  m_listed.clear();
  List("c", "1", 1);
  UpdateAfter(absl::Seconds(1));
  CHECK(m_tracker.Holders() == std::vector<TargetId>{"c"});
}

// Guards against counting the empty log of a restarted target as the log that
// it had before.
TEST_CASE_FIXTURE(ReplicaTrackerFixture,
                  "ReplicaTracker_TargetRestarts_HasLogOnceCaughtUp") {
  List("a", "1", 1);
  UpdateAfter(absl::ZeroDuration());
  CHECK(m_tracker.HasItsLog("a", {1, 0}));
  m_listed[0].started_unix_ms = 2;
  UpdateAfter(absl::Seconds(1));
  CHECK_FALSE(m_tracker.HasItsLog("a", {1, 9}));
  m_primary_position = Position{1, 9};
  UpdateAfter(absl::Seconds(1));
  CHECK_FALSE(m_tracker.HasItsLog("a", {1, 8}));
  CHECK(m_tracker.HasItsLog("a", {1, 9}));
}

TEST_CASE_FIXTURE(ReplicaTrackerFixture,
                  "ReplicaTracker_NoPrimaryAfterRestart_WaitIsLimited") {
  List("a", "1", 1);
  UpdateAfter(absl::ZeroDuration());
  m_listed[0].started_unix_ms = 2;
  UpdateAfter(absl::Seconds(1));
  UpdateAfter(absl::Seconds(11));
  CHECK_FALSE(m_tracker.HasItsLog("a", {1, 0}));
  UpdateAfter(absl::Seconds(2));
  CHECK(m_tracker.HasItsLog("a", {1, 0}));
}

}  // namespace
}  // namespace heatherwick
