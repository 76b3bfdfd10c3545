// Tests when instances read the platform's list, and that their reads do not
// come in bursts.

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

  // Returns the largest number of reads in one second. Every read succeeds if
  // `store_up`, else every read fails.
  size_t MaxReadsPerSecond(absl::Duration duration, bool store_up) {
    size_t max_reads = 0;
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
      max_reads = std::max(max_reads, reads);
    }
    return max_reads;
  }

  std::mt19937_64 m_random{3};
  absl::Time m_now = absl::UnixEpoch();
  std::vector<std::unique_ptr<ListSchedule>> m_schedules;
};

// The store serves about 2,000 reads per second, but a read of a list of this
// size transfers 273 kB. The rate of these reads must therefore stay far lower,
// even if no instance learns of another's read.
TEST_CASE_FIXTURE(ListScheduleFixture,
                  "ListSchedule_StoreReturnsAfterAnHour_ReadsAreSpread") {
  CHECK(MaxReadsPerSecond(absl::Hours(1), /*store_up=*/false) < 200);
  CHECK(MaxReadsPerSecond(absl::Minutes(10), /*store_up=*/true) < 200);
}

// Guards against all instances polling the list, which would use up a node's
// whole budget for control traffic.
TEST_CASE_FIXTURE(ListScheduleFixture,
                  "ListSchedule_ListReadByPollers_OthersDoNotRead") {
  ListSchedule& schedule = *m_schedules.front();
  for (int i = 0; i < 600; ++i) {
    m_now += absl::Seconds(1);
    schedule.NoteListRead(m_now - absl::Seconds(60));
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

// With a list as short as in current deployments, a poller reads it each
// second.
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
