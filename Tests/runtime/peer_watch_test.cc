// Tests the detection of peers that answer nothing.

#include "Source/runtime/peer_watch.h"

#include "doctest/doctest.h"

namespace heatherwick {
namespace {

class PeerWatchFixture {
 protected:
  absl::Time m_now = absl::FromUnixSeconds(1000);
  PeerWatch m_watch;
};

// Guards against waiting for the members' suspicion of a paused home: calls
// to it neither fail nor end.
TEST_CASE_FIXTURE(PeerWatchFixture, "PeerWatch_NoReplyForLong_NamesPeerOnce") {
  m_watch.OnSent("p1", m_now);
  m_watch.OnSent("p1", m_now + absl::Milliseconds(300));
  CHECK(m_watch.TakeSilent(m_now + absl::Milliseconds(390)).empty());
  CHECK(m_watch.TakeSilent(m_now + absl::Milliseconds(410)).size() == 1);
  CHECK(m_watch.TakeSilent(m_now + absl::Milliseconds(420)).empty());
}

// Guards against probing a busy peer because one statement is long.
TEST_CASE_FIXTURE(PeerWatchFixture, "PeerWatch_OtherCallsEnd_NamesNobody") {
  const PeerWatch::CallId first = m_watch.OnSent("p1", m_now);
  const PeerWatch::CallId second = m_watch.OnSent("p1", m_now);
  m_watch.OnEnded("p1", first, m_now + absl::Milliseconds(300));
  CHECK(m_watch.TakeSilent(m_now + absl::Milliseconds(500)).empty());
  m_watch.OnEnded("p1", second, m_now + absl::Milliseconds(600));
  CHECK(m_watch.TakeSilent(m_now + absl::Seconds(9)).empty());
}

// Guards against requests that wait for a suspected home until their
// deadline, and against ending the calls of another peer.
TEST_CASE_FIXTURE(PeerWatchFixture, "PeerWatch_CancelCalls_EndsThatPeersOnly") {
  int ended = 0;
  const PeerWatch::CallId call = m_watch.OnSent("p1", m_now);
  m_watch.OnStarted("p1", call, [&ended] { ++ended; });
  const PeerWatch::CallId other = m_watch.OnSent("p2", m_now);
  m_watch.OnStarted("p2", other, [&ended] { ended += 100; });
  m_watch.CancelCalls("p1");
  CHECK(ended == 1);
}

}  // namespace
}  // namespace heatherwick
