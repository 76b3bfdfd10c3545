// Queries the peers in rounds, at fixed intervals, while the store does not
// answer.

#include "Source/gateway/peer_leases.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "Source/base/hash.h"
#include "glog/logging.h"

namespace heatherwick {
namespace {

// A view that is kept current is usually younger than the 600 ms for which a
// poll waits.
constexpr absl::Duration kQueryPeersAfterAge = absl::Milliseconds(850);
constexpr absl::Duration kRoundInterval = absl::Milliseconds(250);
constexpr absl::Duration kPeerCallTimeout = absl::Milliseconds(400);
// With more peers than this, a round queries only kPeersOfLargeFleet of them.
// It then cannot reach unanimity, but a few peers are enough to learn of the
// newest read.
constexpr size_t kMaxPeersForUnanimity = 12;
constexpr size_t kPeersOfLargeFleet = 4;

}  // namespace

struct PeerLeases::Round {
  absl::Time started;
  size_t members = 0;  // Members other than this instance.
  size_t agreeing_members = 0;
};

PeerLeases::PeerLeases(InstanceId self,
                       uint64_t incarnation,
                       EventLoop* loop,
                       PeerTransport* transport,
                       LeadershipView* view,
                       std::function<void(const RowChanges&)> on_rows)
    : m_self(std::move(self)),
      m_incarnation(incarnation),
      m_loop(loop),
      m_transport(transport),
      m_view(view),
      m_on_rows(std::move(on_rows)) {}

PeerLeases::~PeerLeases() {
  *m_alive = false;
}

void PeerLeases::Tick() {
  const absl::Time now = m_loop->Now();
  if (m_transport == nullptr || now - m_view->AsOf() < kQueryPeersAfterAge ||
      now - m_last_round < kRoundInterval || !m_view->OwnRowPresent()) {
    return;
  }
  m_last_round = now;
  auto round = std::make_shared<Round>();
  round->started = now;
  std::vector<std::pair<uint64_t, std::string>> peers;
  for (const auto& [id, member] : m_view->Members()) {
    if (id != m_self) {
      // Each round queries a different subset of a large fleet.
      peers.emplace_back(StableHash(id, absl::ToUnixNanos(now)),
                         member.peer_address);
    }
  }
  round->members = peers.size();
  std::sort(peers.begin(), peers.end());
  if (peers.size() > kMaxPeersForUnanimity) {
    peers.resize(kPeersOfLargeFleet);
  }
  const VouchQuery query{
      m_self, m_incarnation, m_view->LeadersVersion(), {}, {}};
  for (const auto& [hash, address] : peers) {
    m_transport->Vouch(
        address, query, kPeerCallTimeout,
        [this, round, alive = m_alive](Result<VouchResponse> answer) {
          if (*alive) {
            OnAnswer(round, std::move(answer));
          }
        });
  }
}

void PeerLeases::OnAnswer(const std::shared_ptr<Round>& round,
                          Result<VouchResponse> answer) {
  bool agrees = false;
  if (!Ok(answer)) {
    agrees = ErrorOf(answer).kind == ErrorKind::kNotFound &&
             m_view->LeaseValid(m_loop->Now());
  } else {
    VouchResponse& vouch = ValueOf(answer);
    const absl::Time as_of = round->started - vouch.reading_age;
    if (vouch.has_reading && vouch.member_known &&
        vouch.leaders_version >= m_view->LeadersVersion() &&
        as_of > m_view->AsOf()) {
      RowChanges changes;
      changes.rows = std::move(vouch.leaders);
      changes.as_of = as_of;
      m_on_rows(changes);
      return;
    }
    agrees = vouch.store_unreachable &&
             vouch.leaders_version == m_view->LeadersVersion();
  }
  round->agreeing_members += agrees ? 1 : 0;
  if (round->agreeing_members == round->members && round->members > 0 &&
      round->started > m_view->AsOf() &&
      round->started < m_view->LastStoreRead() + kUnanimityLimit) {
    LOG_EVERY_N(INFO, 10) << "event=lease_by_unanimity members="
                          << round->members;
    m_view->ExtendLease(round->started);
  }
}

VouchResponse PeerLeases::Answer(const VouchQuery& query,
                                 bool store_reachable,
                                 bool changing) const {
  VouchResponse answer;
  const auto member = m_view->Members().find(query.instance);
  answer.member_known = member != m_view->Members().end() &&
                        member->second.incarnation == query.incarnation;
  answer.has_reading = m_view->AsOf() != absl::InfinitePast();
  if (answer.has_reading) {
    answer.reading_age = m_loop->Now() - m_view->AsOf();
  }
  answer.leaders_version = m_view->LeadersVersion();
  answer.store_unreachable = !store_reachable && !changing;
  answer.leaders = m_view->LeaderRowsAfter(query.leaders_version);
  return answer;
}

}  // namespace heatherwick
