// Tests when the commit tracker confirms a request.

#include "Source/decision/commit_tracker.h"

#include <string>

#include "doctest/doctest.h"

namespace heatherwick {
namespace {

class CommitTrackerFixture {
 protected:
  CommitTrackerFixture() {
    m_tracker.OnPrimary("a", 4, {"a", "b", "c"}, m_now, &m_actions);
  }

  void Execute(RequestId request, ConfirmationKind kind, Position position) {
    m_tracker.OnExecuted(request, kind, position, m_now + absl::Seconds(2),
                         m_now, &m_actions);
  }

  // Removes and returns the wait that was issued to `target`.
  WaitId TakeWait(const TargetId& target) {
    for (auto action = m_actions.begin(); action != m_actions.end(); ++action) {
      const auto* wait = std::get_if<WaitForPosition>(&*action);
      if (wait != nullptr && wait->target == target) {
        const WaitId id = wait->wait;
        m_actions.erase(action);
        return id;
      }
    }
    return 0;
  }

  bool Confirmed(RequestId request) const {
    for (const CommitAction& action : m_actions) {
      const auto* confirmed = std::get_if<RequestConfirmed>(&action);
      if (confirmed != nullptr && confirmed->request == request) {
        return true;
      }
    }
    return false;
  }

  bool Unconfirmed(RequestId request) const {
    for (const CommitAction& action : m_actions) {
      const auto* unconfirmed = std::get_if<RequestUnconfirmed>(&action);
      if (unconfirmed != nullptr && unconfirmed->request == request) {
        return true;
      }
    }
    return false;
  }

  absl::Time m_now = absl::FromUnixSeconds(1000);
  CommitTracker m_tracker;
  std::vector<CommitAction> m_actions;
};

TEST_CASE_FIXTURE(CommitTrackerFixture,
                  "CommitTracker_ReplicaHoldsWriteInTerm_Confirms") {
  Execute(1, ConfirmationKind::kWrite, {4, 10});
  CHECK(!Confirmed(1));
  m_tracker.OnPositionReport("b", TakeWait("b"), 4, {4, 10}, m_now, &m_actions);
  CHECK(Confirmed(1));
}

// Guards against acknowledging a write of a replaced primary. A replica's
// report does not confirm the write if the replica is fenced, or if its log
// reaches the LSN but ends in an older term.
TEST_CASE_FIXTURE(
    CommitTrackerFixture,
    "CommitTracker_ReplicaFencedOrLogEndOfOldTerm_DoesNotConfirm") {
  Execute(1, ConfirmationKind::kWrite, {4, 10});
  m_tracker.OnPositionReport("b", TakeWait("b"), 5, {4, 10}, m_now, &m_actions);
  m_tracker.OnPositionReport("c", TakeWait("c"), 4, {3, 50}, m_now, &m_actions);
  CHECK(!Confirmed(1));
}

// Guards against confirming a read from a replaced primary. A report that was
// requested before the read ran may date from before a promotion.
TEST_CASE_FIXTURE(CommitTrackerFixture,
                  "CommitTracker_ReportRequestedBeforeRead_DoesNotConfirm") {
  Execute(1, ConfirmationKind::kWrite, {4, 10});
  const WaitId early = TakeWait("b");
  Execute(2, ConfirmationKind::kRead, {4, 9});
  m_tracker.OnPositionReport("b", early, 4, {4, 10}, m_now, &m_actions);
  CHECK(Confirmed(1));
  CHECK(!Confirmed(2));
  m_tracker.OnPositionReport("b", TakeWait("b"), 4, {4, 10}, m_now, &m_actions);
  CHECK(Confirmed(2));
}

TEST_CASE_FIXTURE(CommitTrackerFixture,
                  "CommitTracker_NewTermOrDeadline_EndsUnconfirmed") {
  Execute(1, ConfirmationKind::kWrite, {4, 10});
  m_tracker.OnPrimary("b", 5, {"a", "b", "c"}, m_now, &m_actions);
  CHECK(Unconfirmed(1));
  Execute(2, ConfirmationKind::kWrite, {5, 12});
  m_tracker.OnTick(m_now + absl::Seconds(2), &m_actions);
  CHECK(Unconfirmed(2));
  CHECK(!Confirmed(2));
  CHECK(m_tracker.Pending() == 0);
}

// Guards against refusing all writes for ever after replicas were slow for a
// while. Refused writes yield no new measurement of the delay, so the expected
// delay has to fall with time.
TEST_CASE_FIXTURE(
    CommitTrackerFixture,
    "CommitTracker_NoConfirmationsForSeconds_ExpectedDelayFalls") {
  Execute(1, ConfirmationKind::kWrite, {4, 10});
  const WaitId wait = TakeWait("b");
  const absl::Time later = m_now + absl::Seconds(1);
  m_tracker.OnPositionReport("b", wait, 4, {4, 10}, later, &m_actions);
  const absl::Duration before = m_tracker.ExpectedDelay(later);
  CHECK(before >= absl::Milliseconds(50));
  CHECK(m_tracker.ExpectedDelay(later + absl::Seconds(10)) <
        absl::Milliseconds(1));
}

}  // namespace
}  // namespace heatherwick
