// Extends the lease of an instance that cannot read the store, by what its
// peers have read.
//
// A peer's reading is as good as an own one of the same age. When no member
// can read the store, none can publish a change, so the unanimous word of all
// members that they cannot read it, and are in no change, extends the lease
// as well, for kUnanimityLimit after the last reading. A member that runs no
// process counts as agreeing while the lease holds: it would have to read the
// store before it could take part. After a gap it does not, since it may have
// completed a change in it.

#ifndef SOURCE_GATEWAY_PEER_LEASES_H_
#define SOURCE_GATEWAY_PEER_LEASES_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "Source/gateway/event_loop.h"
#include "Source/gateway/leadership_view.h"
#include "Source/gateway/peer_transport.h"

namespace heatherwick {

class PeerLeases {
 public:
  // `on_rows` applies leader rows that a peer knows and the view does not.
  PeerLeases(InstanceId self,
             uint64_t incarnation,
             EventLoop* loop,
             PeerTransport* transport,
             LeadershipView* view,
             std::function<void(const RowChanges&)> on_rows);
  ~PeerLeases();

  // Called periodically; asks the peers when the own reading is old.
  void Tick();

  // Answers a peer. `store_reachable`: the last poll succeeded. `changing`:
  // this instance is carrying out a change.
  VouchAnswer Answer(const VouchQuestion& question,
                     bool store_reachable,
                     bool changing) const;

 private:
  struct Round;

  void OnAnswer(const std::shared_ptr<Round>& round,
                Result<VouchAnswer> answer);

  const InstanceId m_self;
  const uint64_t m_incarnation;
  EventLoop* const m_loop;
  PeerTransport* const m_transport;
  LeadershipView* const m_view;
  const std::function<void(const RowChanges&)> m_on_rows;
  absl::Time m_last_round = absl::InfinitePast();
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace heatherwick

#endif  // SOURCE_GATEWAY_PEER_LEASES_H_
