// Detects peers that accept forwarded requests but answer none of them. A
// paused process behaves so: its connections stay open, and no call fails. Also
// keeps the calls in flight, so that they can be cancelled once the peer is
// suspected.

#ifndef SOURCE_RUNTIME_PEER_CALL_TRACKER_H_
#define SOURCE_RUNTIME_PEER_CALL_TRACKER_H_

#include <cstdint>
#include <vector>

#include "Source/base/types.h"
#include "Source/runtime/unary_call.h"
#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace heatherwick {

class PeerCallTracker {
 public:
  using CallId = uint64_t;

  // All methods are thread-safe. OnSent must be called before the call is
  // started and OnStarted afterwards, because a call may end before the
  // function that starts it returns.
  CallId OnSent(const InstanceId& peer, absl::Time now);
  void OnStarted(const InstanceId& peer, CallId call, CancelCall cancel);
  // Records that the call has ended, with or without a reply.
  void OnEnded(const InstanceId& peer, CallId call, absl::Time now);

  // Returns the peers with calls in flight of which none has ended for the
  // silence timeout. A peer is returned again only after another timeout,
  // because each report causes a probe, which costs a message even if the peer
  // is alive.
  std::vector<InstanceId> TakeSilentPeers(absl::Time now);

  // Cancels the calls in flight to the peer.
  void CancelCalls(const InstanceId& peer);

 private:
  struct Peer {
    // Null until the call has started.
    absl::flat_hash_map<CallId, CancelCall> calls;
    // Time at which the latest call ended, or the first of those in flight was
    // sent, or at which the peer was last reported as silent.
    absl::Time last_activity;
  };

  absl::Mutex m_mutex;
  CallId m_last_call ABSL_GUARDED_BY(m_mutex) = 0;
  // Contains only peers with calls in flight.
  absl::flat_hash_map<InstanceId, Peer> m_peers ABSL_GUARDED_BY(m_mutex);
};

}  // namespace heatherwick

#endif  // SOURCE_RUNTIME_PEER_CALL_TRACKER_H_
