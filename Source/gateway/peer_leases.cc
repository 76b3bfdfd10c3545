// One round of questions at a time interval while the store is silent.

#include "Source/gateway/peer_leases.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "Source/base/hash.h"
#include "glog/logging.h"

namespace heatherwick {
namespace {

// The usual age of a reading is below a poll's wait of 600 ms.
constexpr absl::Duration kAskAfter = absl::Milliseconds(850);
constexpr absl::Duration kRoundPeriod = absl::Milliseconds(250);
constexpr absl::Duration kCallTimeout = absl::Milliseconds(400);
// More members than this are not all asked: unanimity is out of reach, and a
// few peers tell the newest reading.
constexpr size_t kMaxAsked = 12;

}  // namespace

struct PeerLeases::Round {
  absl::Time started;
  size_t members = 0;  // Besides the own one.
  size_t agreeing = 0;
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
  if (m_transport == nullptr || now - m_view->AsOf() < kAskAfter ||
      now - m_last_round < kRoundPeriod || !m_view->OwnRowPresent()) {
    return;
  }
  m_last_round = now;
  auto round = std::make_shared<Round>();
  round->started = now;
  std::vector<std::pair<uint64_t, std::string>> peers;
  for (const auto& [id, member] : m_view->Members()) {
    if (id != m_self) {
      // A different part of a large fleet is asked in each round.
      peers.emplace_back(StableHash(id, absl::ToUnixNanos(now)),
                         member.peer_address);
    }
  }
  round->members = peers.size();
  std::sort(peers.begin(), peers.end());
  peers.resize(std::min(peers.size(), kMaxAsked));
  const VouchQuestion question{
      m_self, m_incarnation, m_view->LeadersVersion(), {}, {}};
  for (const auto& [hash, address] : peers) {
    m_transport->Vouch(
        address, question, kCallTimeout,
        [this, round, alive = m_alive](Result<VouchAnswer> answer) {
          if (*alive) {
            OnAnswer(round, std::move(answer));
          }
        });
  }
}

void PeerLeases::OnAnswer(const std::shared_ptr<Round>& round,
                          Result<VouchAnswer> answer) {
  bool agrees = false;
  if (!Ok(answer)) {
    agrees = ErrorOf(answer).kind == ErrorKind::kNotFound &&
             m_view->LeaseValid(m_loop->Now());
  } else {
    VouchAnswer& vouch = ValueOf(answer);
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
  round->agreeing += agrees ? 1 : 0;
  if (round->agreeing == round->members && round->members > 0 &&
      round->started > m_view->AsOf() &&
      round->started < m_view->LastReading() + kUnanimityLimit) {
    LOG_EVERY_N(INFO, 10) << "event=lease_by_unanimity members="
                          << round->members;
    m_view->ExtendLease(round->started);
  }
}

VouchAnswer PeerLeases::Answer(const VouchQuestion& question,
                               bool store_reachable,
                               bool changing) const {
  VouchAnswer answer;
  const auto member = m_view->Members().find(question.instance);
  answer.member_known = member != m_view->Members().end() &&
                        member->second.incarnation == question.incarnation;
  answer.has_reading = m_view->AsOf() != absl::InfinitePast();
  if (answer.has_reading) {
    answer.reading_age = m_loop->Now() - m_view->AsOf();
  }
  answer.leaders_version = m_view->LeadersVersion();
  answer.store_unreachable = !store_reachable && !changing;
  answer.leaders = m_view->LeaderRowsAfter(question.leaders_version);
  return answer;
}

}  // namespace heatherwick
