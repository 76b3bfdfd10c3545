// Guards against reads that miss commits they must see.

#include "Source/gateway/primary_position_history.h"

#include "doctest/doctest.h"

namespace heatherwick {
namespace {

absl::Time At(int64_t ms) {
  return absl::UnixEpoch() + absl::Milliseconds(ms);
}

class PositionHistoryFixture {
 protected:
  PrimaryPositionHistory m_history;
};

TEST_CASE_FIXTURE(PositionHistoryFixture,
                  "PrimaryPositionHistory_Empty_CoversNothing") {
  CHECK_FALSE(m_history.LowestPositionCovering(At(0)).has_value());
}

TEST_CASE_FIXTURE(PositionHistoryFixture,
                  "PrimaryPositionHistory_EntrySentBeforeTime_DoesNotCoverIt") {
  m_history.Add(At(100), {1, 5});
  CHECK_FALSE(m_history.LowestPositionCovering(At(101)).has_value());
  CHECK(m_history.LowestPositionCovering(At(100)) == Position{1, 5});
}

// The lowest sufficient position allows the most replicas to serve the read.
TEST_CASE_FIXTURE(
    PositionHistoryFixture,
    "PrimaryPositionHistory_SeveralEntries_ReturnsLowestSufficient") {
  m_history.Add(At(100), {1, 5});
  m_history.Add(At(200), {1, 9});
  m_history.Add(At(300), {1, 12});
  CHECK(m_history.LowestPositionCovering(At(150)) == Position{1, 9});
}

TEST_CASE_FIXTURE(PositionHistoryFixture,
                  "PrimaryPositionHistory_RepliesOutOfOrder_KeepsOrder") {
  m_history.Add(At(200), {1, 9});
  m_history.Add(At(100), {1, 12});
  CHECK(m_history.LowestPositionCovering(At(50)) == Position{1, 9});
  CHECK(m_history.NewestSendTime() == At(200));
}

TEST_CASE_FIXTURE(PositionHistoryFixture,
                  "PrimaryPositionHistory_Cleared_CoversNothing") {
  m_history.Add(At(200), {1, 9});
  m_history.Clear();
  CHECK_FALSE(m_history.LowestPositionCovering(At(0)).has_value());
}

}  // namespace
}  // namespace heatherwick
