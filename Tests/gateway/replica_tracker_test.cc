// Tests which targets count as holders of acknowledged commits.

#include "Source/gateway/replica_tracker.h"

#include <algorithm>
#include <optional>

#include "Source/gateway/store_version.h"
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
    m_tracker.Update(m_listed, m_record ? &*m_record : nullptr,
                     m_earlier ? &*m_earlier : nullptr, m_now);
  }
  // Stores what the tracker has as the record, without `removed`.
  void Record(uint64_t version, const std::vector<TargetRun>& removed = {}) {
    m_record = RecordedReplicas{m_tracker.Replicas(), version};
    for (const TargetRun& run : removed) {
      m_record->replicas.erase(run);
    }
    UpdateAfter(absl::ZeroDuration());
  }

  ReplicaTracker m_tracker;
  std::vector<ListedTarget> m_listed;
  std::optional<RecordedReplicas> m_record;
  std::optional<RecordedReplicas> m_earlier;
  absl::Time m_now = absl::UnixEpoch();
};

// Guards against the promotion of a target without the commits of one that has
// crashed and comes back with its log, however late.
TEST_CASE_FIXTURE(ReplicaTrackerFixture,
                  "ReplicaTracker_TargetLeavesList_StaysHolder") {
  List("a", "1", 1);
  List("b", "2", 1);
  UpdateAfter(absl::ZeroDuration());
  m_listed.pop_back();
  UpdateAfter(absl::Seconds(13));
  CHECK(m_tracker.Holders() == std::vector<TargetRun>{{"a", 1}, {"b", 1}});
  UpdateAfter(absl::Hours(24));
  CHECK(m_tracker.Holders() == std::vector<TargetRun>{{"a", 1}, {"b", 1}});
}

// Guards against counting the empty log of a target that has started again as
// the log that it had before.
TEST_CASE_FIXTURE(ReplicaTrackerFixture,
                  "ReplicaTracker_EmptyLog_CountsOnceEntryMustHaveBeenRead") {
  List("a", "1", 1);
  UpdateAfter(absl::ZeroDuration());
  CHECK(m_tracker.IsOfListedRun("a", {1, 5}, m_now));
  CHECK(!m_tracker.IsOfListedRun("a", {1, 0}, m_now));
  UpdateAfter(absl::Seconds(4));
  CHECK(!m_tracker.IsOfListedRun("a", {1, 0}, m_now));
  UpdateAfter(absl::Milliseconds(1));
  CHECK(m_tracker.IsOfListedRun("a", {1, 0}, m_now));
  CHECK(m_tracker.IsOfListedRun("b", {1, 0}, m_now));
}

// Guards against a wait that ends while the target cannot write its new entry.
TEST_CASE_FIXTURE(ReplicaTrackerFixture,
                  "ReplicaTracker_StoreIsAway_EmptyLogWaitsAgain") {
  List("a", "1", 1);
  UpdateAfter(absl::ZeroDuration());
  CHECK(!m_tracker.IsOfListedRun("a", {1, 0}, m_now));
  UpdateAfter(absl::Seconds(3));
  m_tracker.OnStoreUnavailable();
  UpdateAfter(absl::Seconds(3));
  CHECK(!m_tracker.IsOfListedRun("a", {1, 0}, m_now));
  UpdateAfter(absl::Milliseconds(4001));
  CHECK(m_tracker.IsOfListedRun("a", {1, 0}, m_now));
}

// Guards against the wait of a run that is over delaying its successor, or
// ending that one's.
TEST_CASE_FIXTURE(ReplicaTrackerFixture,
                  "ReplicaTracker_TargetStartsAgain_ItsEmptyLogWaitsAnew") {
  List("a", "1", 1);
  UpdateAfter(absl::ZeroDuration());
  CHECK(!m_tracker.IsOfListedRun("a", {1, 0}, m_now));
  m_listed.clear();
  List("a", "1", 2);
  UpdateAfter(absl::Seconds(5));
  CHECK(m_tracker.IsOfListedRun("a", {1, 5}, m_now));
  CHECK(!m_tracker.IsOfListedRun("a", {1, 0}, m_now));
}

// The operator prefers a primary to the commits of a target that is gone.
TEST_CASE_FIXTURE(ReplicaTrackerFixture,
                  "ReplicaTracker_LogWaitLimit_TargetIsGivenUpAfterIt") {
  m_tracker = ReplicaTracker(absl::Seconds(60));
  List("a", "1", 1);
  List("b", "2", 1);
  UpdateAfter(absl::ZeroDuration());
  m_listed.pop_back();
  UpdateAfter(absl::Seconds(60));
  CHECK(m_tracker.Holders() == std::vector<TargetRun>{{"a", 1}, {"b", 1}});
  UpdateAfter(absl::Seconds(1));
  CHECK(m_tracker.Holders() == std::vector<TargetRun>{{"a", 1}});
  List("b", "2", 1);
  UpdateAfter(absl::Seconds(1));
  CHECK(m_tracker.Holders() == std::vector<TargetRun>{{"a", 1}, {"b", 1}});
}

// Guards against a started instance that takes the listed targets for all that
// may hold acknowledged commits.
TEST_CASE_FIXTURE(ReplicaTrackerFixture,
                  "ReplicaTracker_RecordNamesUnlistedTarget_IsHolder") {
  m_record = RecordedReplicas{{{{"a", 1}, {"1"}}, {{"b", 1}, {"2"}}}, 7};
  List("a", "1", 1);
  UpdateAfter(absl::ZeroDuration());
  CHECK(m_tracker.Holders() == std::vector<TargetRun>{{"a", 1}, {"b", 1}});
  CHECK(m_tracker.HoldersKnown(m_now));
  CHECK(m_tracker.UnlistedHolders() == std::vector<TargetRun>{{"b", 1}});
  CHECK_FALSE(m_tracker.RecordLacksRuns());
}

// A group of an earlier version has no record. The list shows all live targets
// after some time.
TEST_CASE_FIXTURE(ReplicaTrackerFixture,
                  "ReplicaTracker_NoRecord_HoldersAreKnownAfterSomeTime") {
  List("a", "1", 1);
  UpdateAfter(absl::ZeroDuration());
  UpdateAfter(absl::Seconds(11));
  CHECK(m_tracker.RecordMissing());
  CHECK_FALSE(m_tracker.HoldersKnown(m_now));
  UpdateAfter(absl::Seconds(2));
  CHECK(m_tracker.HoldersKnown(m_now));
}

// A record that could not be read lacks targets, like no record.
TEST_CASE_FIXTURE(ReplicaTrackerFixture,
                  "ReplicaTracker_RecordUnreadable_HoldersAreNotKnown") {
  List("a", "1", 1);
  m_record = RecordedReplicas{{}, 7, false};
  UpdateAfter(absl::ZeroDuration());
  CHECK(m_tracker.RecordMissing());
  CHECK(m_tracker.RecordVersion() == 7);
  CHECK_FALSE(m_tracker.HoldersKnown(m_now));
}

TEST_CASE_FIXTURE(ReplicaTrackerFixture,
                  "ReplicaTracker_TargetJoins_RecordLacksIt") {
  List("a", "1", 1);
  UpdateAfter(absl::ZeroDuration());
  Record(7);
  CHECK_FALSE(m_tracker.RecordLacksRuns());
  List("b", "2", 1);
  UpdateAfter(absl::Seconds(1));
  CHECK(m_tracker.RecordLacksRuns());
  // It is recorded although it leaves at once.
  m_listed.pop_back();
  UpdateAfter(absl::Seconds(1));
  CHECK(m_tracker.RecordLacksRuns());
  Record(8);
  CHECK_FALSE(m_tracker.RecordLacksRuns());
}

// Another instance has removed the target from the record.
TEST_CASE_FIXTURE(ReplicaTrackerFixture,
                  "ReplicaTracker_TargetRemovedFromRecord_IsForgotten") {
  List("a", "1", 1);
  List("b", "2", 1);
  UpdateAfter(absl::ZeroDuration());
  Record(7);
  m_listed.pop_back();
  UpdateAfter(absl::Seconds(1));
  Record(8, {{"b", 1}});
  CHECK(m_tracker.Holders() == std::vector<TargetRun>{{"a", 1}});
  CHECK_FALSE(m_tracker.RecordLacksRuns());
}

// Guards against forgetting targets because the store has returned from a copy
// with an older record, or with none.
TEST_CASE_FIXTURE(ReplicaTrackerFixture,
                  "ReplicaTracker_StoreReturnsFromCopy_HoldersAreKept") {
  for (const bool record_in_copy : {false, true}) {
    CAPTURE(record_in_copy);
    m_tracker = ReplicaTracker();
    m_listed.clear();
    m_record.reset();
    List("a", "1", 1);
    List("b", "2", 1);
    UpdateAfter(absl::ZeroDuration());
    Record(7);
    m_listed.pop_back();
    UpdateAfter(absl::Seconds(1));
    m_record.reset();
    if (record_in_copy) {
      m_record = RecordedReplicas{{{{"a", 1}, {"1"}}}, QualifyVersion(1, 3)};
    }
    UpdateAfter(absl::Seconds(1));
    CHECK(m_tracker.Holders() == std::vector<TargetRun>{{"a", 1}, {"b", 1}});
    CHECK(m_tracker.RecordLacksRuns());
  }
}

// A started instance knows the record of the era before from the copy.
TEST_CASE_FIXTURE(ReplicaTrackerFixture,
                  "ReplicaTracker_RecordOfEarlierEra_IsWrittenAgain") {
  m_earlier = RecordedReplicas{{{{"a", 1}, {"1"}}, {{"b", 1}, {"2"}}}, 7};
  List("a", "1", 1);
  UpdateAfter(absl::ZeroDuration());
  CHECK(m_tracker.Holders() == std::vector<TargetRun>{{"a", 1}, {"b", 1}});
  CHECK(m_tracker.HoldersKnown(m_now));
  CHECK(m_tracker.RecordLacksRuns());
  CHECK(m_tracker.RecordVersion() == 0);
}

// The log of a draining target is passed on to its successor at the same
// address. This is also known to an instance that has not seen it drain.
TEST_CASE_FIXTURE(ReplicaTrackerFixture,
                  "ReplicaTracker_TargetReplacedAtAddress_SuccessorHoldsLog") {
  List("a", "1", 1);
  UpdateAfter(absl::ZeroDuration());
  Record(7);
  m_listed[0].draining = true;
  UpdateAfter(absl::Seconds(1));
  CHECK(m_tracker.RecordLacksRuns());
  Record(8);
  m_listed.clear();
  List("c", "1", 2);
  for (const bool restarted : {false, true}) {
    CAPTURE(restarted);
    m_tracker = restarted ? ReplicaTracker() : m_tracker;
    UpdateAfter(absl::Seconds(1));
    CHECK(m_tracker.Holders() == std::vector<TargetRun>{{"c", 2}});
    CHECK(m_tracker.Departed(m_now) == std::vector<TargetRun>{{"a", 1}});
  }
}

// Guards against taking a target that begins with an empty log for the holder
// of what a crashed one had received at the same address.
TEST_CASE_FIXTURE(ReplicaTrackerFixture,
                  "ReplicaTracker_CrashedTargetsAddressIsReused_StaysHolder") {
  List("a", "1", 1);
  UpdateAfter(absl::ZeroDuration());
  m_listed.clear();
  List("c", "1", 2);
  UpdateAfter(absl::Seconds(1));
  CHECK(m_tracker.Holders() == std::vector<TargetRun>{{"a", 1}, {"c", 2}});
}

// Guards against counting the empty log of a restarted target as the log that
// it had before.
TEST_CASE_FIXTURE(ReplicaTrackerFixture,
                  "ReplicaTracker_TargetRestarts_HasLogOnceRunIsRemoved") {
  List("a", "1", 1);
  UpdateAfter(absl::ZeroDuration());
  Record(7);
  CHECK(m_tracker.HasItsLog("a"));
  m_listed[0].started_unix_ms = 2;
  UpdateAfter(absl::Seconds(1));
  CHECK_FALSE(m_tracker.HasItsLog("a"));
  CHECK(m_tracker.Holders() == std::vector<TargetRun>{{"a", 1}, {"a", 2}});
  CHECK(m_tracker.Departed(m_now) == std::vector<TargetRun>{{"a", 1}});
  Record(8, {{"a", 1}});
  CHECK(m_tracker.HasItsLog("a"));
}

// The same for an instance that did not run when the target restarted.
TEST_CASE_FIXTURE(ReplicaTrackerFixture,
                  "ReplicaTracker_TargetRestartedUnseen_HasNotItsLog") {
  m_record = RecordedReplicas{{{{"a", 1}, {"1"}}}, 7};
  List("a", "1", 2);
  UpdateAfter(absl::ZeroDuration());
  CHECK_FALSE(m_tracker.HasItsLog("a"));
}

// No primary can show what the target has lost.
TEST_CASE_FIXTURE(ReplicaTrackerFixture,
                  "ReplicaTracker_NoPrimaryAfterRestart_LogStaysUnknown") {
  for (const bool limited : {false, true}) {
    CAPTURE(limited);
    m_tracker =
        ReplicaTracker(limited ? absl::Seconds(12) : absl::InfiniteDuration());
    m_listed.clear();
    List("a", "1", 1);
    UpdateAfter(absl::ZeroDuration());
    m_listed[0].started_unix_ms = 2;
    UpdateAfter(absl::Seconds(1));
    UpdateAfter(absl::Seconds(10));
    CHECK_FALSE(m_tracker.HasItsLog("a"));
    UpdateAfter(absl::Seconds(3));
    CHECK(m_tracker.HasItsLog("a") == limited);
  }
}

}  // namespace
}  // namespace heatherwick
