// Notices peers that take forwarded requests and answer none of them, as a
// paused process does: its connections stay open, so no call fails. Keeps the
// calls in progress, to end them once the peer is suspected.

#ifndef SOURCE_RUNTIME_PEER_WATCH_H_
#define SOURCE_RUNTIME_PEER_WATCH_H_

#include <cstdint>
#include <vector>

#include "Source/base/types.h"
#include "Source/runtime/unary_call.h"
#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace heatherwick {

class PeerWatch {
 public:
  using CallId = uint64_t;

  // All methods are thread-safe. A call is announced before it is started,
  // since it may end before its start returns.
  CallId OnSent(const InstanceId& peer, absl::Time now);
  void OnStarted(const InstanceId& peer, CallId call, CancelCall cancel);
  // The call has ended, with or without a reply.
  void OnEnded(const InstanceId& peer, CallId call, absl::Time now);

  // Peers with calls in progress that have ended none for the silence limit.
  // Each is named again only after another such time, since a probe that
  // shows it alive costs a message.
  std::vector<InstanceId> TakeSilent(absl::Time now);

  // Ends the calls in progress at the peer.
  void CancelCalls(const InstanceId& peer);

 private:
  struct Peer {
    // Null until the call has started.
    absl::flat_hash_map<CallId, CancelCall> calls;
    // When the latest call ended, or the first of those in progress began.
    absl::Time heard_at;
  };

  absl::Mutex m_mutex;
  CallId m_last_call ABSL_GUARDED_BY(m_mutex) = 0;
  // Peers with calls in progress.
  absl::flat_hash_map<InstanceId, Peer> m_peers ABSL_GUARDED_BY(m_mutex);
};

}  // namespace heatherwick

#endif  // SOURCE_RUNTIME_PEER_WATCH_H_
