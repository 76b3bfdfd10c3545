// Counts the calls in progress at each peer.

#include "Source/runtime/peer_watch.h"

#include <utility>

namespace heatherwick {

namespace {

// Longer than nearly every statement, so that a long one alone seldom costs a
// probe, and short beside the suspicion of a member.
constexpr absl::Duration kSilenceLimit = absl::Milliseconds(400);

}  // namespace

PeerWatch::CallId PeerWatch::OnSent(const InstanceId& peer, absl::Time now) {
  absl::MutexLock lock(&m_mutex);
  Peer& watched = m_peers[peer];
  if (watched.calls.empty()) {
    watched.heard_at = now;
  }
  watched.calls[++m_last_call] = nullptr;
  return m_last_call;
}

void PeerWatch::OnStarted(const InstanceId& peer,
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

void PeerWatch::OnEnded(const InstanceId& peer, CallId call, absl::Time now) {
  absl::MutexLock lock(&m_mutex);
  const auto found = m_peers.find(peer);
  if (found == m_peers.end()) {
    return;
  }
  found->second.heard_at = now;
  found->second.calls.erase(call);
  if (found->second.calls.empty()) {
    m_peers.erase(found);
  }
}

void PeerWatch::CancelCalls(const InstanceId& peer) {
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

std::vector<InstanceId> PeerWatch::TakeSilent(absl::Time now) {
  std::vector<InstanceId> silent;
  absl::MutexLock lock(&m_mutex);
  for (auto& [id, peer] : m_peers) {
    if (now - peer.heard_at >= kSilenceLimit) {
      peer.heard_at = now;
      silent.push_back(id);
    }
  }
  return silent;
}

}  // namespace heatherwick
