// Guards against buffers that together outgrow the process's memory, against
// callers that wait for each other's memory for ever, and against closing the
// wrong ones.

#include "Source/decision/memory_budget.h"

#include <random>
#include <vector>

#include "doctest/doctest.h"

namespace heatherwick {
namespace {

using HolderId = MemoryBudget::HolderId;

constexpr size_t kMb = 1 << 20;

MemoryLimits Limits() {
  MemoryLimits limits;
  limits.total = 16 * kMb;
  return limits;
}

MemoryUse Input(size_t bytes) {
  MemoryUse use;
  use.input = bytes;
  use.message_unfinished = bytes > 0;
  return use;
}

class MemoryBudgetFixture {
 protected:
  HolderId Hold(const MemoryUse& use) {
    const HolderId id = m_budget.Add();
    m_budget.Report(id, use, m_now);
    return id;
  }

  absl::Time m_now = absl::UnixEpoch();
  MemoryBudget m_budget{Limits()};
};

TEST_CASE_FIXTURE(MemoryBudgetFixture,
                  "MemoryBudget_LittleBuffered_NobodyWaits") {
  const HolderId long_message = Hold(Input(2 * kMb));
  CHECK(m_budget.MayReceive(long_message));
  CHECK(m_budget.MayRun(long_message, 4 * kMb));
  CHECK(m_budget.ToClose(m_now + absl::Hours(1)).empty());
}

TEST_CASE_FIXTURE(MemoryBudgetFixture,
                  "MemoryBudget_HalfOfLimitBuffered_OneLongMessageGoesOn") {
  const HolderId first = Hold(Input(5 * kMb));
  const HolderId second = Hold(Input(5 * kMb));
  const HolderId ordinary = Hold(Input(200));
  CHECK(m_budget.MayReceive(first));
  CHECK_FALSE(m_budget.MayReceive(second));
  CHECK(m_budget.MayReceive(ordinary));
  // Also when the other one reports again and again.
  m_budget.Report(second, Input(5 * kMb + 1), m_now);
  CHECK(m_budget.MayReceive(first));
  m_budget.Report(first, {}, m_now);
  CHECK(m_budget.MayReceive(second));
}

TEST_CASE_FIXTURE(MemoryBudgetFixture,
                  "MemoryBudget_MessageStopsWhileOthersWait_IsClosed") {
  const HolderId stopped = Hold(Input(5 * kMb));
  const HolderId waiting = Hold(Input(5 * kMb));
  CHECK(m_budget.ToClose(m_now + absl::Seconds(3)).empty());
  CHECK(m_budget.ToClose(m_now + absl::Seconds(4)) ==
        std::vector<HolderId>{stopped});
  m_now += absl::Seconds(4);
  m_budget.Remove(stopped, m_now);
  CHECK(m_budget.MayReceive(waiting));
  CHECK(m_budget.ToClose(m_now + absl::Hours(1)).empty());
}

TEST_CASE_FIXTURE(MemoryBudgetFixture,
                  "MemoryBudget_LimitExceeded_LargestAreClosedFirst") {
  MemoryUse in_transaction = Input(9 * kMb);
  in_transaction.in_transaction = true;
  const HolderId transaction = Hold(in_transaction);
  const HolderId medium = Hold(Input(3 * kMb));
  const HolderId large = Hold(Input(4 * kMb));
  const HolderId small = Hold(Input(2 * kMb));
  CHECK(m_budget.ToClose(m_now) == std::vector<HolderId>{large});
  in_transaction.input = 17 * kMb;
  m_budget.Report(transaction, in_transaction, m_now);
  CHECK(m_budget.ToClose(m_now) ==
        std::vector<HolderId>{large, medium, small, transaction});
}

TEST_CASE_FIXTURE(MemoryBudgetFixture,
                  "MemoryBudget_LongStatementRuns_NextOneWaitsForRoom") {
  MemoryUse running;
  running.running = 4 * kMb;
  const HolderId first = Hold(running);
  const HolderId second = Hold(Input(kMb));
  CHECK(m_budget.MayRun(second, 4 * kMb));
  Hold(Input(4 * kMb));
  CHECK_FALSE(m_budget.MayRun(second, 4 * kMb));
  CHECK(m_budget.MayRun(second, 1000));
  // One long statement always runs, so that nobody waits for ever.
  m_budget.Report(first, {}, m_now);
  CHECK(m_budget.MayRun(second, 4 * kMb));
}

// Holders that obey the answers, in random order: the total stays below the
// limit, and all messages are completed.
TEST_CASE("MemoryBudget_RandomHolders_AllMessagesAreCompleted") {
  for (uint32_t seed = 1; seed <= 50; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    MemoryBudget budget(Limits());
    absl::Time now = absl::UnixEpoch();
    std::vector<HolderId> holders;
    std::vector<size_t> received(64, 0);
    for (size_t index = 0; index < received.size(); ++index) {
      holders.push_back(budget.Add());
    }
    size_t completed = 0;
    for (int step = 0; step < 200000 && completed < 64; ++step) {
      const size_t index = random() % holders.size();
      if (received[index] > kMb || !budget.MayReceive(holders[index])) {
        continue;
      }
      received[index] += 16384;
      now += absl::Microseconds(100);
      const bool complete = received[index] > kMb;
      completed += complete ? 1 : 0;
      budget.Report(holders[index],
                    complete ? MemoryUse{} : Input(received[index]), now);
      REQUIRE(budget.Total() <= Limits().total);
      REQUIRE(budget.ToClose(now).empty());
    }
    CHECK(completed == 64);
  }
}

}  // namespace
}  // namespace heatherwick
