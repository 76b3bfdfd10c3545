// Guards against a backlog in which work waits until its deadline although it
// cannot be served, and against refusing work that would have been served.

#include "Source/decision/crowd_admission.h"

#include <algorithm>
#include <deque>
#include <set>
#include <vector>

#include "doctest/doctest.h"

namespace heatherwick {
namespace {

class CrowdAdmissionFixture {
 protected:
  // Serves `per_second` for `time` while `waiting` entries wait.
  void Serve(double per_second, absl::Duration time, size_t waiting) {
    const absl::Time end = m_now + time;
    for (m_admission.OnWaiting(waiting, m_now); m_now < end;
         m_now += absl::Milliseconds(1)) {
      for (m_due += per_second / 1000; m_due >= 1; m_due -= 1) {
        m_admission.OnServed(m_now);
      }
    }
  }
  std::optional<absl::Duration> Check(size_t ahead,
                                      absl::Duration permitted,
                                      uint64_t seed = 512) const {
    return m_admission.CheckHopeless(ahead, ahead, m_now + permitted, seed,
                                     m_now);
  }

  absl::Time m_now = absl::UnixEpoch() + absl::Hours(1);
  double m_due = 0;
  CrowdAdmission m_admission;
};

TEST_CASE_FIXTURE(CrowdAdmissionFixture,
                  "CrowdAdmission_BacklogBeyondDeadline_IsRefused") {
  Serve(200, absl::Seconds(1), 400);
  const std::optional<absl::Duration> wait =
      m_admission.ExpectedWait(400, m_now);
  REQUIRE(wait);
  CHECK(*wait > absl::Milliseconds(1800));
  CHECK(*wait < absl::Milliseconds(2200));
  CHECK(Check(400, absl::Seconds(1)));
}

// An estimate is never exact.
TEST_CASE_FIXTURE(CrowdAdmissionFixture,
                  "CrowdAdmission_EstimateNearDeadline_IsNotRefused") {
  Serve(200, absl::Seconds(1), 400);
  CHECK_FALSE(Check(400, absl::Milliseconds(1500)));
  CHECK_FALSE(Check(10, absl::Milliseconds(1)));
  CHECK_FALSE(Check(0, absl::ZeroDuration()));
}

TEST_CASE_FIXTURE(CrowdAdmissionFixture,
                  "CrowdAdmission_RateUnknown_NothingIsRefused") {
  CHECK_FALSE(Check(100000, absl::ZeroDuration()));
  Serve(200, absl::Milliseconds(190), 400);
  CHECK_FALSE(Check(100000, absl::ZeroDuration()));
  Serve(200, absl::Milliseconds(20), 400);
  CHECK(Check(100000, absl::ZeroDuration()));
  // The next backlog is another one.
  m_admission.OnWaiting(0, m_now);
  Serve(200, absl::Milliseconds(190), 400);
  CHECK_FALSE(Check(100000, absl::ZeroDuration()));
}

// A few served entries say little about a rate.
TEST_CASE_FIXTURE(CrowdAdmissionFixture,
                  "CrowdAdmission_FewServed_NothingIsRefused") {
  Serve(14, absl::Seconds(1), 400);
  CHECK(m_admission.ExpectedWait(100, m_now));
  CHECK_FALSE(Check(100, absl::ZeroDuration()));
}

// During a change of the primary nothing is served, and afterwards service
// resumes at the old rate.
TEST_CASE_FIXTURE(CrowdAdmissionFixture,
                  "CrowdAdmission_ServiceStalls_NothingIsRefused") {
  Serve(200, absl::Seconds(1), 100);
  for (int ms = 0; ms < 1000; ms += 10) {
    CAPTURE(ms);
    CHECK_FALSE(Check(100, absl::Milliseconds(700)));
    m_now += absl::Milliseconds(10);
  }
}

TEST_CASE_FIXTURE(CrowdAdmissionFixture,
                  "CrowdAdmission_ServiceBecomesFaster_NewRateCounts") {
  Serve(40, absl::Seconds(1), 400);
  CHECK(Check(200, absl::Seconds(2)));
  Serve(200, absl::Milliseconds(250), 400);
  CHECK_FALSE(Check(200, absl::Seconds(2)));
}

TEST_CASE_FIXTURE(CrowdAdmissionFixture,
                  "CrowdAdmission_RetryAfter_GrowsAndDiffersBetweenCallers") {
  Serve(200, absl::Seconds(1), 400);
  const absl::Duration shorter = *Check(300, absl::Milliseconds(500));
  const absl::Duration longer = *Check(600, absl::Milliseconds(500));
  CHECK(longer > 1.9 * shorter);
  std::set<absl::Duration> times;
  for (uint64_t seed = 0; seed < 100; ++seed) {
    times.insert(*Check(300, absl::Milliseconds(500), seed));
  }
  CHECK(times.size() == 100);
  CHECK(*Check(10000000, absl::Milliseconds(500)) <= absl::Seconds(8));
}

TEST_CASE_FIXTURE(CrowdAdmissionFixture,
                  "CrowdAdmission_Order_ObjectiveThenPriority") {
  const WaitTerms urgent{0, m_now + absl::Seconds(1)};
  const WaitTerms usual{1, m_now + absl::Seconds(1)};
  const WaitTerms urgent_late{0, m_now - absl::Seconds(1)};
  CHECK(CrowdAdmission::Precedes(urgent, usual, m_now));
  CHECK_FALSE(CrowdAdmission::Precedes(usual, urgent, m_now));
  CHECK(CrowdAdmission::Precedes(usual, urgent_late, m_now));
  CHECK_FALSE(CrowdAdmission::Precedes(urgent_late, usual, m_now));
  CHECK_FALSE(CrowdAdmission::Precedes(usual, usual, m_now));
}

// A crowd of `size` arrives at once at 15 slots with statements of 20 to 34 ms,
// of which each may wait for 700 ms, and `usual` more arrive each second.
struct QueueResult {
  int served = 0;
  int refused_early = 0;
  int refused_at_deadline = 0;
  std::set<int> served_numbers;
  std::set<int> refused_numbers;
  absl::Duration refused_wait;  // Sum over all refused.
};
QueueResult RunCrowd(int size, int usual, bool admission_on) {
  struct Entry {
    int number;
    absl::Time arrived;
  };
  constexpr absl::Duration kMayWait = absl::Milliseconds(700);
  CrowdAdmission admission;
  QueueResult result;
  std::deque<Entry> waiting;
  std::vector<int> slots(15, 0);
  uint64_t random = 7;
  absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  int number = 0;
  for (; number < size; ++number) {
    waiting.push_back({number, now});
  }
  double due = 0;
  for (int ms = 0; ms < 5000; ++ms, now += absl::Milliseconds(1)) {
    for (due += usual / 1000.0; due >= 1; due -= 1) {
      waiting.push_back({number++, now});
    }
    for (int& slot : slots) {
      slot = std::max(0, slot - 1);
      if (slot == 0 && !waiting.empty()) {
        random = random * 6364136223846793005U + 1442695040888963407U;
        slot = 20 + static_cast<int>((random >> 33) % 15);
        result.served_numbers.insert(waiting.front().number);
        ++result.served;
        waiting.pop_front();
        admission.OnServed(now);
      }
    }
    admission.OnWaiting(waiting.size(), now);
    std::deque<Entry> kept;
    for (const Entry& entry : waiting) {
      const absl::Time until = entry.arrived + kMayWait;
      const bool hopeless =
          admission_on && admission.CheckHopeless(kept.size(), waiting.size(),
                                                  until, entry.number, now);
      if (!hopeless && now < until) {
        kept.push_back(entry);
        continue;
      }
      result.refused_numbers.insert(entry.number);
      result.refused_wait += now - entry.arrived;
      ++(hopeless ? result.refused_early : result.refused_at_deadline);
    }
    waiting = std::move(kept);
  }
  return result;
}

// The reads of 1.5 s at 30% of the slots all return at once. All can be served.
TEST_CASE("CrowdAdmission_CrowdThatCanBeServed_NothingIsRefusedEarly") {
  const QueueResult result = RunCrowd(250, 167, true);
  CHECK(result.refused_early == 0);
  CHECK(result.refused_at_deadline == 0);
}

TEST_CASE("CrowdAdmission_CrowdThatCannotBeServed_IsRefusedSoonAndNoOtherIs") {
  const QueueResult without = RunCrowd(2000, 167, false);
  const QueueResult with = RunCrowd(2000, 167, true);
  const absl::Duration wait_without =
      without.refused_wait /
      static_cast<double>(without.refused_numbers.size());
  const absl::Duration wait_with =
      with.refused_wait / static_cast<double>(with.refused_numbers.size());
  MESSAGE("without: served ", without.served, ", refused after ",
          absl::ToInt64Milliseconds(wait_without), " ms");
  MESSAGE("with: served ", with.served, ", refused after ",
          absl::ToInt64Milliseconds(wait_with), " ms, ", with.refused_early,
          " early");
  REQUIRE(without.refused_at_deadline > 1000);
  // At most 1% of those that would have been served may be refused early.
  int lost = 0;
  for (const int number : with.refused_numbers) {
    lost += without.served_numbers.contains(number) ? 1 : 0;
  }
  CHECK(lost <= without.served / 100);
  CHECK(with.served >= without.served * 99 / 100);
  CHECK(with.refused_early > with.refused_at_deadline);
  CHECK(wait_with < wait_without * 0.7);
}

}  // namespace
}  // namespace heatherwick
