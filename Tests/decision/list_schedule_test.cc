// Tests when instances read the platform's list, against bursts at the store.

#include "Source/decision/list_schedule.h"

#include <algorithm>
#include <memory>
#include <random>
#include <vector>

#include "doctest/doctest.h"

namespace heatherwick {
namespace {

class ListScheduleFixture {
 protected:
  static constexpr size_t kInstances = 3900;

  ListScheduleFixture() {
    for (size_t i = 0; i < kInstances; ++i) {
      m_schedules.push_back(std::make_unique<ListSchedule>(
          ListScheduleOptions{}, m_random, m_now));
      m_schedules.back()->OnRead(kInstances, m_now);
    }
  }

  // Most reads in one second while every read ends as `store_up` says.
  size_t BusiestSecond(absl::Duration duration, bool store_up) {
    size_t busiest = 0;
    for (const absl::Time end = m_now + duration; m_now < end;
         m_now += absl::Seconds(1)) {
      size_t reads = 0;
      for (const auto& schedule : m_schedules) {
        if (!schedule->IsDue(m_now)) {
          continue;
        }
        ++reads;
        if (store_up) {
          schedule->OnRead(kInstances, m_now);
        } else {
          schedule->OnReadFailed(m_now);
        }
      }
      busiest = std::max(busiest, reads);
    }
    return busiest;
  }

  std::mt19937_64 m_random{3};
  absl::Time m_now = absl::UnixEpoch();
  std::vector<std::unique_ptr<ListSchedule>> m_schedules;
};

// The store serves about 2,000 reads a second; a read of the list at this
// size is 273 kB, so far fewer may come at once, even when no instance hears
// of another's read.
TEST_CASE_FIXTURE(ListScheduleFixture,
                  "ListSchedule_StoreReturnsAfterAnHour_ReadsAreSpread") {
  CHECK(BusiestSecond(absl::Hours(1), /*store_up=*/false) < 200);
  CHECK(BusiestSecond(absl::Minutes(10), /*store_up=*/true) < 200);
}

// Everyone polling would cost a node's whole budget.
TEST_CASE_FIXTURE(ListScheduleFixture,
                  "ListSchedule_NewsFromPollers_OthersDoNotRead") {
  ListSchedule& schedule = *m_schedules.front();
  for (int i = 0; i < 600; ++i) {
    m_now += absl::Seconds(1);
    schedule.OnNews(m_now - absl::Seconds(60));
    CHECK(!schedule.IsDue(m_now));
  }
}

TEST_CASE_FIXTURE(ListScheduleFixture,
                  "ListSchedule_PollerOfLongList_StaysWithinByteBudget") {
  ListSchedule& schedule = *m_schedules.front();
  schedule.SetPoller(true, m_now);
  size_t reads = 0;
  for (int i = 0; i < 600; ++i) {
    m_now += absl::Seconds(1);
    if (schedule.IsDue(m_now)) {
      schedule.OnRead(kInstances, m_now);
      ++reads;
    }
  }
  CHECK(reads >= 4);
  CHECK(reads <= 6);
}

// A region of the present deployments sees its list each second.
TEST_CASE_FIXTURE(ListScheduleFixture,
                  "ListSchedule_PollerOfShortList_ReadsEachSecond") {
  ListSchedule schedule(ListScheduleOptions{}, m_random, m_now);
  schedule.SetPoller(true, m_now);
  size_t reads = 0;
  for (int i = 0; i < 10; ++i) {
    m_now += absl::Seconds(1);
    if (schedule.IsDue(m_now)) {
      schedule.OnRead(6, m_now);
      ++reads;
    }
  }
  CHECK(reads == 10);
}

}  // namespace
}  // namespace heatherwick
