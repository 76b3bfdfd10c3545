// Extends the lease of an instance that cannot read the store, using the
// replies of its peers (the other members).
//
// A peer's read of the store is as good as the instance's own read of the same
// age. When no member can read the store, none can publish a change. The lease
// is therefore also extended by unanimity: if every member replies that it
// cannot read the store and carries out no change. This is allowed until
// kUnanimityLimit after the last read.
//
// Only a member's own reply counts. A member that cannot be reached may run,
// read the store and carry out a change, whatever the error says. A member that
// has started again and has read nothing yet must read the store before it can
// take part in a change, so its reply counts while the lease is valid. Once the
// lease has expired it does not, because the member may have completed a change
// before it ended. In a large fleet a few collectors ask all members, and the
// others learn the result from them.

#ifndef SOURCE_GATEWAY_PEER_LEASES_H_
#define SOURCE_GATEWAY_PEER_LEASES_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "Source/gateway/event_loop.h"
#include "Source/gateway/leadership_view.h"
#include "Source/gateway/peer_transport.h"

namespace heatherwick {

class PeerLeases {
 public:
  // `on_rows` applies leader rows that a peer has and the view lacks. `on_era`
  // is told the era of a peer that has read a later one than the view's.
  PeerLeases(InstanceId self,
             uint64_t incarnation,
             EventLoop* loop,
             PeerTransport* transport,
             LeadershipView* view,
             std::function<void(const RowChanges&)> on_rows,
             std::function<void(uint64_t)> on_era);
  ~PeerLeases();

  // Queries the peers if the view is old. Must be called periodically.
  void Tick();

  // Answers a peer's query. `store_reachable` is true if the last poll of the
  // store succeeded, `changing` if this instance is carrying out a change.
  VouchResponse Answer(const VouchQuery& query,
                       bool store_reachable,
                       bool changing) const;

  // What each member replied in the newest round, for logs. Empty before the
  // first round.
  std::string DescribeLastRound() const;
  // How often the lease was extended because all members agreed.
  uint64_t UnanimousRounds() const { return m_unanimous_rounds; }

 private:
  struct Round;

  // The members that ask all others; empty in a small fleet, where all do.
  const std::vector<InstanceId>& Collectors();

  void OnAnswer(const std::shared_ptr<Round>& round,
                const InstanceId& peer,
                Result<VouchResponse> answer);
  // Logs by whose replies a lease is extended, when that changes and otherwise
  // rarely.
  void LogUnanimity(const Round& round);

  const InstanceId m_self;
  const uint64_t m_incarnation;
  EventLoop* const m_loop;
  PeerTransport* const m_transport;
  LeadershipView* const m_view;
  const std::function<void(const RowChanges&)> m_on_rows;
  const std::function<void(uint64_t)> m_on_era;
  std::shared_ptr<const Round> m_newest_round;  // Null before the first.
  absl::Time m_last_round = absl::InfinitePast();
  uint64_t m_unanimous_rounds = 0;
  std::string m_logged_unanimity;
  absl::Time m_unanimity_logged_at = absl::InfinitePast();
  std::vector<InstanceId> m_collectors;
  uint64_t m_collectors_revision = 0;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace heatherwick

#endif  // SOURCE_GATEWAY_PEER_LEASES_H_
