// Tests the detection of peers that do not answer.

#include "Source/runtime/peer_call_tracker.h"

#include "doctest/doctest.h"

namespace heatherwick {
namespace {

class PeerCallTrackerFixture {
 protected:
  absl::Time m_now = absl::FromUnixSeconds(1000);
  PeerCallTracker m_tracker;
};

// Guards against slow detection of a paused home: calls to it neither fail nor
// end, so requests would wait until its peers suspect it.
TEST_CASE_FIXTURE(PeerCallTrackerFixture,
                  "PeerCallTracker_NoReplyWithinTimeout_ReportsPeerOnce") {
  m_tracker.OnSent("p1", m_now);
  m_tracker.OnSent("p1", m_now + absl::Milliseconds(300));
  CHECK(m_tracker.TakeSilentPeers(m_now + absl::Milliseconds(390)).empty());
  CHECK(m_tracker.TakeSilentPeers(m_now + absl::Milliseconds(410)).size() == 1);
  CHECK(m_tracker.TakeSilentPeers(m_now + absl::Milliseconds(420)).empty());
}

// Guards against probing a busy peer because one statement takes long.
TEST_CASE_FIXTURE(PeerCallTrackerFixture,
                  "PeerCallTracker_OtherCallsEnd_ReportsNoPeer") {
  const PeerCallTracker::CallId first = m_tracker.OnSent("p1", m_now);
  const PeerCallTracker::CallId second = m_tracker.OnSent("p1", m_now);
  m_tracker.OnEnded("p1", first, m_now + absl::Milliseconds(300));
  CHECK(m_tracker.TakeSilentPeers(m_now + absl::Milliseconds(500)).empty());
  m_tracker.OnEnded("p1", second, m_now + absl::Milliseconds(600));
  CHECK(m_tracker.TakeSilentPeers(m_now + absl::Seconds(9)).empty());
}

// Guards against requests that wait for a suspected home until their deadline,
// and against cancelling the calls to another peer.
TEST_CASE_FIXTURE(PeerCallTrackerFixture,
                  "PeerCallTracker_CancelCalls_CancelsOnlyThatPeersCalls") {
  int ended = 0;
  const PeerCallTracker::CallId call = m_tracker.OnSent("p1", m_now);
  m_tracker.OnStarted("p1", call, [&ended] { ++ended; });
  const PeerCallTracker::CallId other = m_tracker.OnSent("p2", m_now);
  m_tracker.OnStarted("p2", other, [&ended] { ended += 100; });
  m_tracker.CancelCalls("p1");
  CHECK(ended == 1);
}

}  // namespace
}  // namespace heatherwick
