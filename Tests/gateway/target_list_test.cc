// Guards against dropping live targets whose entries disappeared during an
// outage of the store, and against keeping dead targets.

#include "Source/gateway/target_list.h"

#include "doctest/doctest.h"

namespace heatherwick {
namespace {

ListedTarget Target(bool draining = false) {
  ListedTarget target;
  target.id = "a";
  target.group = "g";
  target.draining = draining;
  return target;
}

class TargetListFixture {
 protected:
  TargetListFixture() { m_list.OnEntry(Target(), m_now); }

  absl::Time m_now = absl::UnixEpoch() + absl::Hours(1);
  TargetList m_list;
};

TEST_CASE_FIXTURE(TargetListFixture, "TargetList_EntryRemoved_DropsAtOnce") {
  m_list.OnEntryRemoved("a", m_now);
  CHECK(m_list.Targets().empty());
}

TEST_CASE_FIXTURE(TargetListFixture,
                  "TargetList_EntryRemovedInOutage_StaysForGracePeriod") {
  m_list.OnStoreUnavailable(m_now);
  m_list.OnSnapshot({}, m_now + absl::Seconds(1));
  CHECK_FALSE(m_list.RemoveExpired(m_now + absl::Seconds(2)));
  CHECK(m_list.Targets().size() == 1);
  CHECK(m_list.RemoveExpired(m_now + absl::Seconds(4)));
  CHECK(m_list.Targets().empty());
}

TEST_CASE_FIXTURE(TargetListFixture,
                  "TargetList_EntryReturnsAfterOutage_Stays") {
  m_list.OnStoreUnavailable(m_now);
  m_list.OnEntryRemoved("a", m_now + absl::Seconds(1));
  m_list.OnEntry(Target(), m_now);
  CHECK_FALSE(m_list.RemoveExpired(m_now + absl::Seconds(9)));
  CHECK(m_list.Targets().size() == 1);
}

TEST_CASE_FIXTURE(TargetListFixture,
                  "TargetList_DrainingEntryRemovedInOutage_DropsAtOnce") {
  m_list.OnEntry(Target(true), m_now);
  m_list.OnStoreUnavailable(m_now);
  m_list.OnEntryRemoved("a", m_now);
  CHECK(m_list.Targets().empty());
}

// A copy's entry can be of a run that has ended, or from before the target
// began to drain.
TEST_CASE_FIXTURE(TargetListFixture,
                  "TargetList_EntryOfOlderCopy_DoesNotReplaceTheKnownOne") {
  ListedTarget known = Target(true);
  known.started_unix_ms = 2000;
  known.sequence = 7;
  for (const int64_t started : {1000, 2000}) {
    CAPTURE(started);
    m_list.OnEntry(known, m_now);
    m_list.OnStoreReturned(m_now);
    ListedTarget older = Target(false);
    older.started_unix_ms = started;
    older.sequence = 6;
    m_list.OnEntry(older, m_now);
    REQUIRE(m_list.Targets().size() == 1);
    CHECK(m_list.Targets()[0].draining);
    CHECK(m_list.Targets()[0].started_unix_ms == 2000);
    // It writes its entry again, or is gone.
    m_list.OnEntry(known, m_now);
    CHECK_FALSE(m_list.RemoveExpired(m_now + absl::Seconds(3)));
    m_list.OnEntry(older, m_now);
    CHECK(m_list.RemoveExpired(m_now + absl::Seconds(3)));
  }
}

// Without a return a target that starts anew counts from the beginning.
TEST_CASE_FIXTURE(TargetListFixture,
                  "TargetList_TargetCountsAnew_EntryReplacesTheKnownOne") {
  ListedTarget known = Target(true);
  known.sequence = 7;
  m_list.OnEntry(known, m_now);
  m_list.OnEntry(Target(false), m_now);
  CHECK_FALSE(m_list.Targets()[0].draining);
}

}  // namespace
}  // namespace heatherwick
