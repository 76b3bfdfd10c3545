// Shows that each check of the soak can fail.

#include "Tests/platform/soak/call_history.h"

#include <string>

#include "absl/strings/match.h"
#include "doctest/doctest.h"

namespace heatherwick::platform {
namespace {

class HistoryFixture {
 protected:
  void Write(uint64_t number, WriteOutcome outcome, absl::Duration answered) {
    m_history.AddWrite({"k", number, outcome, m_start + answered});
  }
  void Read(uint64_t number, absl::Duration started, absl::Duration age) {
    m_history.AddRead({"k", number, m_start + started, age, m_session});
  }
  StandInCommit Commit(uint64_t number) {
    StandInCommit commit;
    commit.item = "k";
    commit.value = CallHistory::ValueOfNumber(number);
    return commit;
  }
  // The only broken promise.
  std::string Broken(const std::vector<StandInCommit>& commits) {
    const std::vector<std::string> broken = m_history.Check(commits);
    return broken.size() == 1 ? broken.front() : "";
  }

  absl::Time m_session = absl::InfiniteFuture();
  const absl::Time m_start = absl::UnixEpoch() + absl::Hours(1);
  CallHistory m_history;
};

TEST_CASE_FIXTURE(HistoryFixture, "CallHistory_AllKept_IsClean") {
  Write(1, WriteOutcome::kDone, absl::Seconds(1));
  Write(2, WriteOutcome::kNotRun, absl::Seconds(2));
  Write(3, WriteOutcome::kUnknown, absl::Seconds(3));
  Read(1, absl::Seconds(4), absl::ZeroDuration());
  m_history.AddToken({"a", 5});
  m_history.AddToken({"a", 5});
  m_history.AddToken({"b", 6});
  CHECK(m_history.Check({Commit(1), Commit(3)}).empty());
}

TEST_CASE_FIXTURE(HistoryFixture, "CallHistory_WriteTwice_IsFound") {
  Write(1, WriteOutcome::kDone, absl::Seconds(1));
  CHECK(absl::StrContains(Broken({Commit(1), Commit(1)}), "twice"));
}

TEST_CASE_FIXTURE(HistoryFixture, "CallHistory_NotRunButKept_IsFound") {
  Write(1, WriteOutcome::kNotRun, absl::Seconds(1));
  CHECK(absl::StrContains(Broken({Commit(1)}), "not run and is kept"));
}

TEST_CASE_FIXTURE(HistoryFixture, "CallHistory_DoneButNeverRan_IsFound") {
  Write(1, WriteOutcome::kDone, absl::Seconds(1));
  CHECK(absl::StrContains(Broken({}), "never ran"));
}

TEST_CASE_FIXTURE(HistoryFixture, "CallHistory_ReplacedPrimary_IsFound") {
  Write(1, WriteOutcome::kDone, absl::Seconds(1));
  StandInCommit commit = Commit(1);
  commit.deposed = true;
  commit.lost = true;
  CHECK(absl::StrContains(Broken({commit}), "replaced primary"));
}

TEST_CASE_FIXTURE(HistoryFixture, "CallHistory_ReadTooOld_IsFound") {
  Write(1, WriteOutcome::kDone, absl::Seconds(1));
  Write(2, WriteOutcome::kDone, absl::Seconds(5));
  Read(1, absl::Seconds(6), absl::Seconds(2));
  CHECK(m_history.Check({Commit(1), Commit(2)}).empty());
  Read(1, absl::Seconds(8), absl::Seconds(2));
  CHECK(absl::StrContains(Broken({Commit(1), Commit(2)}), "had to see 2"));
}

TEST_CASE_FIXTURE(HistoryFixture, "CallHistory_OwnWriteUnseen_IsFound") {
  Write(1, WriteOutcome::kDone, absl::Seconds(1));
  m_session = m_start + absl::Seconds(2);
  Read(0, absl::Seconds(3), absl::Seconds(9));
  CHECK(m_history.Check({Commit(1)}).empty());
  m_session = m_start;
  Read(0, absl::Seconds(3), absl::Seconds(9));
  CHECK(absl::StrContains(Broken({Commit(1)}), "had to see 1"));
}

// Seed 50: a write that its caller had given up ran in a paused instance once
// that went on, after the next write. Only a write without an answer may.
TEST_CASE_FIXTURE(HistoryFixture,
                  "CallHistory_UnansweredWriteRunsLate_IsClean") {
  Write(1, WriteOutcome::kUnknown, absl::Seconds(1));
  Write(2, WriteOutcome::kDone, absl::Seconds(2));
  Read(1, absl::Seconds(9), absl::ZeroDuration());
  CHECK(m_history.Check({Commit(2), Commit(1)}).empty());
  CHECK(absl::StrContains(Broken({Commit(1), Commit(2)}), "had to see 2"));
}

TEST_CASE_FIXTURE(HistoryFixture, "CallHistory_DoneWritesReordered_IsFound") {
  Write(1, WriteOutcome::kDone, absl::Seconds(1));
  Write(2, WriteOutcome::kDone, absl::Seconds(2));
  CHECK(absl::StrContains(Broken({Commit(2), Commit(1)}), "after a later one"));
}

// Commits that a promotion discarded are not owed to readers.
TEST_CASE_FIXTURE(HistoryFixture, "CallHistory_CommitLostInPromotion_IsClean") {
  Write(1, WriteOutcome::kDone, absl::Seconds(1));
  StandInCommit commit = Commit(1);
  commit.lost = true;
  Read(0, absl::Seconds(8), absl::ZeroDuration());
  CHECK(m_history.Check({commit}).empty());
}

TEST_CASE_FIXTURE(HistoryFixture, "CallHistory_TokenFallsOrIsShared_IsFound") {
  m_history.AddToken({"a", 5});
  m_history.AddToken({"b", 5});
  CHECK(absl::StrContains(Broken({}), "token 5 of b followed 5 of a"));
  m_history.AddToken({"b", 4});
  CHECK(m_history.Check({}).size() == 2);
}

}  // namespace
}  // namespace heatherwick::platform
