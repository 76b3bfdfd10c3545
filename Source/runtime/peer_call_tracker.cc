// Tracks the calls in flight to each peer.

#include "Source/runtime/peer_call_tracker.h"

#include <utility>

namespace heatherwick {

namespace {

// Longer than nearly every statement, so that a long statement alone seldom
// causes a probe, and short compared with the time until a member is suspected.
constexpr absl::Duration kSilenceTimeout = absl::Milliseconds(400);

}  // namespace

PeerCallTracker::CallId PeerCallTracker::OnSent(const InstanceId& peer,
                                                absl::Time now) {
  absl::MutexLock lock(&m_mutex);
  Peer& watched = m_peers[peer];
  if (watched.calls.empty()) {
    watched.last_activity = now;
  }
  watched.calls[++m_last_call] = nullptr;
  return m_last_call;
}

void PeerCallTracker::OnStarted(const InstanceId& peer,
                                CallId call,
                                CancelCall cancel) {
  absl::MutexLock lock(&m_mutex);
  const auto found = m_peers.find(peer);
  if (found == m_peers.end()) {
    return;
  }
  const auto started = found->second.calls.find(call);
  if (started != found->second.calls.end()) {
    started->second = std::move(cancel);
  }
}

void PeerCallTracker::OnEnded(const InstanceId& peer,
                              CallId call,
                              absl::Time now) {
  absl::MutexLock lock(&m_mutex);
  const auto found = m_peers.find(peer);
  if (found == m_peers.end()) {
    return;
  }
  found->second.last_activity = now;
  found->second.calls.erase(call);
  if (found->second.calls.empty()) {
    m_peers.erase(found);
  }
}

void PeerCallTracker::CancelCalls(const InstanceId& peer) {
  std::vector<CancelCall> cancels;
  {
    absl::MutexLock lock(&m_mutex);
    const auto found = m_peers.find(peer);
    if (found == m_peers.end()) {
      return;
    }
    for (const auto& [call, cancel] : found->second.calls) {
      if (cancel != nullptr) {
        cancels.push_back(cancel);
      }
    }
  }
  for (const CancelCall& cancel : cancels) {
    cancel();
  }
}

std::vector<InstanceId> PeerCallTracker::TakeSilentPeers(absl::Time now) {
  std::vector<InstanceId> silent;
  absl::MutexLock lock(&m_mutex);
  for (auto& [id, peer] : m_peers) {
    if (now - peer.last_activity >= kSilenceTimeout) {
      peer.last_activity = now;
      silent.push_back(id);
    }
  }
  return silent;
}

}  // namespace heatherwick
