// Guards against reads that are repeated because everything is slow, which
// takes the slots of reads that have not run yet, and against slow reads that
// are not repeated although one target alone is slow.

#include "Source/decision/repeat_budget.h"

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "doctest/doctest.h"

namespace heatherwick {
namespace {

constexpr size_t kTargets = 3;
constexpr size_t kSlots = 5;
constexpr int kSlowReadMs = 350;  // As in CallerSession, for a borrower.
constexpr int kMaxRuns = 3;

// Reads of one group: three targets with five slots each, to which instances
// send reads without knowledge of each other. Time is in milliseconds.
class ReadFleet {
 public:
  ReadFleet(size_t instances, bool bounded)
      : m_bounded(bounded), m_instances(instances) {}

  void Arrive(size_t instance) {
    m_reads.push_back({instance, m_now});
    Send(m_reads.size() - 1, Random() % kTargets);
  }
  void Step() {
    for (size_t target = 0; target < kTargets; ++target) {
      Target& at = m_targets[target];
      for (auto run = at.running.begin(); run != at.running.end();) {
        if (--run->left > 0) {
          ++run;
          continue;
        }
        OnReply(target, run->read);
        run = at.running.erase(run);
      }
      while (at.running.size() < kSlots && !at.queue.empty()) {
        at.running.push_back(at.queue.front());
        at.queue.pop_front();
      }
    }
    for (size_t index = 0; index < m_reads.size(); ++index) {
      Read& read = m_reads[index];
      if (!read.done && m_now - read.sent == kSlowReadMs &&
          read.runs < kMaxRuns) {
        OnSlow(index);
      }
    }
    ++m_now;
  }
  void Run(int ms, double arrivals_per_ms) {
    for (int i = 0; i < ms; ++i) {
      m_due += arrivals_per_ms;
      for (; m_due >= 1; m_due -= 1) {
        Arrive(Random() % m_instances.size());
      }
      Step();
    }
  }
  size_t Unanswered() const {
    return std::count_if(m_reads.begin(), m_reads.end(),
                         [](const Read& read) { return !read.done; });
  }
  // Mean slots that one read more occupies, as a rate of all slots.
  static double CapacityPerMs() { return kTargets * kSlots / 27.0; }

  int repeats = 0;
  int completed = 0;
  std::array<int, kTargets> slowness = {1, 1, 1};

 private:
  struct Read {
    size_t instance = 0;
    int arrived = 0;
    int sent = 0;
    size_t target = 0;
    int runs = 0;
    bool done = false;
  };
  struct Job {
    size_t read;
    int left;
  };
  struct Target {
    std::deque<Job> queue;
    std::vector<Job> running;
  };
  struct Seen {
    int latency = 0;
    std::optional<int> at;
  };
  struct Instance {
    RepeatBudget budget;
    std::array<Seen, kTargets> seen;
  };

  absl::Time Now() const {
    return absl::UnixEpoch() + absl::Hours(1) + absl::Milliseconds(m_now);
  }
  uint64_t Random() {
    m_random = m_random * 6364136223846793005U + 1442695040888963407U;
    return m_random >> 33;
  }
  void Send(size_t index, size_t target) {
    Read& read = m_reads[index];
    read.sent = m_now;
    read.target = target;
    ++read.runs;
    const int time = (20 + static_cast<int>(Random() % 15)) * slowness[target];
    m_targets[target].queue.push_back({index, time});
  }
  void OnReply(size_t target, size_t index) {
    Read& read = m_reads[index];
    if (read.done || read.target != target) {
      return;  // The first run of a read that was repeated.
    }
    read.done = true;
    ++completed;
    Instance& instance = m_instances[read.instance];
    instance.seen[target] = {m_now - read.sent, m_now};
    instance.budget.OnCompleted(Now());
  }
  void OnSlow(size_t index) {
    Read& read = m_reads[index];
    Instance& instance = m_instances[read.instance];
    std::optional<absl::Duration> fastest;
    for (size_t target = 0; target < kTargets; ++target) {
      const Seen& seen = instance.seen[target];
      if (target != read.target && seen.at && m_now - *seen.at < 10000) {
        const absl::Duration latency = absl::Milliseconds(seen.latency);
        fastest = fastest ? std::min(*fastest, latency) : latency;
      }
    }
    if (m_bounded &&
        instance.budget.OnSlowRead(absl::Milliseconds(m_now - read.sent),
                                   fastest, Now()) != RepeatOutcome::kAllowed) {
      return;
    }
    ++repeats;
    Send(index, (read.target + 1 + Random() % (kTargets - 1)) % kTargets);
  }

  const bool m_bounded;
  std::vector<Instance> m_instances;
  std::array<Target, kTargets> m_targets;
  std::vector<Read> m_reads;
  int m_now = 0;
  double m_due = 0;
  uint64_t m_random = 7;
};

struct CrowdResult {
  int repeats = 0;
  int completed = 0;
  int drained_after_ms = 0;
};

// The callers of 130 instances return at once with the reads of 1.5 s, and the
// usual reads go on. Drained when no more reads are unanswered than usual.
CrowdResult ReturnAfterPowerLoss(bool bounded) {
  ReadFleet fleet(130, bounded);
  const double usual = 0.3 * ReadFleet::CapacityPerMs();
  const int crowd = static_cast<int>(1500 * usual);
  for (int i = 0; i < crowd; ++i) {
    fleet.Arrive(i % 130);
  }
  CrowdResult result;
  while (fleet.Unanswered() > kTargets * kSlots &&
         result.drained_after_ms < 20000) {
    fleet.Run(1, usual);
    ++result.drained_after_ms;
  }
  result.repeats = fleet.repeats;
  result.completed = fleet.completed;
  return result;
}

TEST_CASE("RepeatBudget_AllCallersReturnAtOnce_RepeatsStayUnderTheFraction") {
  const CrowdResult unbounded = ReturnAfterPowerLoss(false);
  const CrowdResult bounded = ReturnAfterPowerLoss(true);
  MESSAGE("without: ", unbounded.repeats, " repeats of ", unbounded.completed,
          ", drained after ", unbounded.drained_after_ms, " ms");
  MESSAGE("with: ", bounded.repeats, " repeats of ", bounded.completed,
          ", drained after ", bounded.drained_after_ms, " ms");
  // The load pattern is the one that multiplies.
  CHECK(unbounded.repeats > unbounded.completed * 2 / 10);
  CHECK(bounded.repeats <=
        bounded.completed * RepeatBudget::kRepeatsPerCompleted);
  CHECK(bounded.drained_after_ms < unbounded.drained_after_ms);
}

// All instances know of fast answers and have full budgets when the crowd
// comes, so that only the budget holds it.
TEST_CASE("RepeatBudget_CrowdAfterCalm_RepeatsStayUnderTheBudget") {
  ReadFleet fleet(130, true);
  const double usual = 0.3 * ReadFleet::CapacityPerMs();
  fleet.Run(20000, usual);
  REQUIRE(fleet.repeats == 0);
  const int before = fleet.completed;
  for (int i = 0; i < 6 * 1500 * usual; ++i) {
    fleet.Arrive(i % 130);
  }
  fleet.Run(10000, usual);
  const int completed = fleet.completed - before;
  CHECK(fleet.repeats <= completed * RepeatBudget::kRepeatsPerCompleted +
                             130 * (RepeatBudget::kMaxTokens +
                                    10 * RepeatBudget::kRepeatsPerSecond));
}

TEST_CASE("RepeatBudget_OneSlowTargetInCalm_ReadsAreRepeated") {
  ReadFleet fleet(10, true);
  const double usual = 0.1 * ReadFleet::CapacityPerMs();
  fleet.Run(10000, usual);
  REQUIRE(fleet.repeats == 0);
  fleet.slowness[1] = 20;
  const int before = fleet.completed;
  fleet.Run(10000, usual);
  const int completed = fleet.completed - before;
  CHECK(fleet.repeats >= completed * RepeatBudget::kRepeatsPerCompleted);
  CHECK(fleet.repeats <= (completed + 10) * RepeatBudget::kRepeatsPerCompleted +
                             10 * (RepeatBudget::kMaxTokens +
                                   10 * RepeatBudget::kRepeatsPerSecond));
}

class RepeatBudgetFixture {
 protected:
  RepeatOutcome SlowRead(int waited_ms, std::optional<int> other_ms) {
    std::optional<absl::Duration> other;
    if (other_ms) {
      other = absl::Milliseconds(*other_ms);
    }
    return m_budget.OnSlowRead(absl::Milliseconds(waited_ms), other, m_now);
  }
  void Pass(absl::Duration time) { m_now += time; }

  absl::Time m_now = absl::UnixEpoch() + absl::Hours(1);
  RepeatBudget m_budget;
};

// An instance that just started knows nothing, and its callers may all have
// come at once.
TEST_CASE_FIXTURE(RepeatBudgetFixture, "RepeatBudget_JustStarted_IsEmpty") {
  CHECK(SlowRead(350, 20) == RepeatOutcome::kBudgetUsedUp);
}

TEST_CASE_FIXTURE(RepeatBudgetFixture,
                  "RepeatBudget_LittleTraffic_OneRepeatInFiveSeconds") {
  m_budget.OnCompleted(m_now);
  Pass(absl::Seconds(5));
  CHECK(SlowRead(350, 20) == RepeatOutcome::kAllowed);
  CHECK(SlowRead(350, 20) == RepeatOutcome::kBudgetUsedUp);
  Pass(absl::Hours(1));
  CHECK(SlowRead(350, 20) == RepeatOutcome::kAllowed);
  CHECK(SlowRead(350, 20) == RepeatOutcome::kAllowed);
  CHECK(SlowRead(350, 20) == RepeatOutcome::kBudgetUsedUp);
}

TEST_CASE_FIXTURE(RepeatBudgetFixture,
                  "RepeatBudget_OtherTargetsAsSlowOrUnknown_NothingIsTaken") {
  m_budget.OnCompleted(m_now);
  Pass(absl::Seconds(5));
  CHECK(SlowRead(350, std::nullopt) == RepeatOutcome::kNoFasterTarget);
  CHECK(SlowRead(350, 300) == RepeatOutcome::kNoFasterTarget);
  CHECK(SlowRead(350, 100) == RepeatOutcome::kNoFasterTarget);
  CHECK(SlowRead(350, 80) == RepeatOutcome::kAllowed);
}

TEST_CASE_FIXTURE(RepeatBudgetFixture,
                  "RepeatBudget_ClockGoesBack_BudgetDoesNotGrow") {
  m_budget.OnCompleted(m_now);
  Pass(-absl::Hours(1));
  CHECK(SlowRead(350, 20) == RepeatOutcome::kBudgetUsedUp);
}

TEST_CASE("BusyRetryPause_Refusals_DoubleAndDifferBetweenStatements") {
  CHECK(BusyRetryPause(1, 0) == absl::Milliseconds(15));
  CHECK(BusyRetryPause(2, 0) == absl::Milliseconds(30));
  CHECK(BusyRetryPause(100, 0) == absl::Milliseconds(240));
  CHECK(BusyRetryPause(1, 1) != BusyRetryPause(1, 2));
  CHECK(BusyRetryPause(100, 1023) <= absl::Milliseconds(300));
}

}  // namespace
}  // namespace heatherwick
