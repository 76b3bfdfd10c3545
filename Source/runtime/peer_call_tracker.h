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

  // Returns the peers that have calls in flight but have ended no call during
  // the last kSilenceTimeout. A peer is returned again only after another
  // timeout, because each report causes a probe, which costs a message even if
  // the peer is alive.
  std::vector<InstanceId> TakeSilentPeers(absl::Time now);

  // Cancels the calls in flight to the peer.
  void CancelCalls(const InstanceId& peer);

 private:
  struct Peer {
    // Calls in flight. The cancel function is null until the call has started.
    absl::flat_hash_map<CallId, CancelCall> calls;
    // The latest of: the end of a call, the start of the first call in flight,
    // the last report of the peer as silent.
    absl::Time last_activity;
  };

  absl::Mutex m_mutex;
  CallId m_last_call ABSL_GUARDED_BY(m_mutex) = 0;
  // Contains only peers with calls in flight.
  absl::flat_hash_map<InstanceId, Peer> m_peers ABSL_GUARDED_BY(m_mutex);
};

}  // namespace heatherwick

#endif  // SOURCE_RUNTIME_PEER_CALL_TRACKER_H_
