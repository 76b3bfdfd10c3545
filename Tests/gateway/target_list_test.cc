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
  TargetListFixture() { m_list.OnEntry(Target()); }

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
  m_list.OnEntry(Target());
  CHECK_FALSE(m_list.RemoveExpired(m_now + absl::Seconds(9)));
  CHECK(m_list.Targets().size() == 1);
}

TEST_CASE_FIXTURE(TargetListFixture,
                  "TargetList_DrainingEntryRemovedInOutage_DropsAtOnce") {
  m_list.OnEntry(Target(true));
  m_list.OnStoreUnavailable(m_now);
  m_list.OnEntryRemoved("a", m_now);
  CHECK(m_list.Targets().empty());
}

}  // namespace
}  // namespace heatherwick
