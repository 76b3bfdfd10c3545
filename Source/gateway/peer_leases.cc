// Queries the peers in rounds, at fixed intervals, while the store does not
// answer.

#include "Source/gateway/peer_leases.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>
#include <vector>

#include "Source/base/enum_table.h"
#include "Source/base/hash.h"
#include "Source/gateway/store_version.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "glog/logging.h"

namespace heatherwick {
namespace {

// A view that is kept current is usually younger than the 600 ms for which a
// poll waits.
constexpr absl::Duration kQueryPeersAfterAge = absl::Milliseconds(850);
constexpr absl::Duration kRoundInterval = absl::Milliseconds(250);
constexpr absl::Duration kPeerCallTimeout = absl::Milliseconds(400);
// In a larger fleet only kCollectors members ask all others, and the rest learn
// from them. If all asked all, an outage of the store would cost each instance
// of 300 more than its processor.
constexpr size_t kMaxPeersForAll = 12;
constexpr size_t kCollectors = 3;
// Peers other than a collector that a member of a large fleet asks in a round.
constexpr size_t kOtherPeers = 2;
// Between the rounds of a collector.
constexpr absl::Duration kCollectorInterval = absl::Milliseconds(500);
// Between two log lines on leases that are extended by the same replies.
constexpr absl::Duration kUnanimityLogInterval = absl::Seconds(5);
// Members that a log line names for each kind of reply.
constexpr size_t kMaxLoggedMembers = 8;

// What a member's reply, or the lack of one, says about the lease.
enum class PeerReply {
  kNoAnswer,
  kOtherInstance,  // Another instance answered at the member's address.
  kVouched,        // Its reading extends the lease.
  kSameRows,       // It cannot read the store and knows the same leader rows.
  kReadNothing,    // It has read nothing since it started.
  kDisagrees,
};

constexpr EnumName<PeerReply> kPeerReplyNames[] = {
    {PeerReply::kNoAnswer, "no_answer"},
    {PeerReply::kOtherInstance, "other_instance"},
    {PeerReply::kVouched, "vouched"},
    {PeerReply::kSameRows, "same_rows"},
    {PeerReply::kReadNothing, "read_nothing"},
    {PeerReply::kDisagrees, "disagrees"},
};

bool Agrees(PeerReply reply) {
  return reply == PeerReply::kSameRows || reply == PeerReply::kReadNothing;
}

}  // namespace

struct PeerLeases::Round {
  std::string Describe() const;

  absl::Time started;
  uint64_t era = 0;    // Of the members that are asked.
  size_t members = 0;  // Members other than this instance.
  size_t agreeing_members = 0;
  std::map<PeerReply, std::vector<InstanceId>> replies;
};

std::string PeerLeases::Round::Describe() const {
  std::string text = absl::StrCat("members=", members);
  for (const auto& [reply, ids] : replies) {
    std::vector<InstanceId> named = ids;
    std::sort(named.begin(), named.end());
    named.resize(std::min(named.size(), kMaxLoggedMembers));
    absl::StrAppend(&text, " ", NameOf(kPeerReplyNames, reply), "=", ids.size(),
                    ":", absl::StrJoin(named, ","));
  }
  return text;
}

PeerLeases::PeerLeases(InstanceId self,
                       uint64_t incarnation,
                       EventLoop* loop,
                       PeerTransport* transport,
                       LeadershipView* view,
                       std::function<void(const RowChanges&)> on_rows,
                       std::function<void(uint64_t)> on_era)
    : m_self(std::move(self)),
      m_incarnation(incarnation),
      m_loop(loop),
      m_transport(transport),
      m_view(view),
      m_on_rows(std::move(on_rows)),
      m_on_era(std::move(on_era)) {}

PeerLeases::~PeerLeases() {
  *m_alive = false;
}

const std::vector<InstanceId>& PeerLeases::Collectors() {
  if (m_collectors_revision == m_view->MembersRevision()) {
    return m_collectors;
  }
  m_collectors_revision = m_view->MembersRevision();
  m_collectors.clear();
  if (m_view->Members().size() <= kMaxPeersForAll + 1) {
    return m_collectors;
  }
  std::vector<std::tuple<int64_t, uint64_t, InstanceId>> ranked;
  for (const auto& [id, member] : m_view->Members()) {
    ranked.emplace_back(-static_cast<int64_t>(member.capacity), StableHash(id),
                        id);
  }
  std::partial_sort(ranked.begin(), ranked.begin() + kCollectors, ranked.end());
  for (size_t index = 0; index < kCollectors; ++index) {
    m_collectors.push_back(std::get<InstanceId>(ranked[index]));
  }
  return m_collectors;
}

void PeerLeases::Tick() {
  const absl::Time now = m_loop->Now();
  if (m_transport == nullptr || now - m_view->AsOf() < kQueryPeersAfterAge ||
      now - m_last_round < kRoundInterval || !m_view->OwnRowPresent()) {
    return;
  }
  const std::vector<InstanceId>& collectors = Collectors();
  const bool asks_all =
      collectors.empty() || std::find(collectors.begin(), collectors.end(),
                                      m_self) != collectors.end();
  if (!collectors.empty() && asks_all &&
      now - m_last_round < kCollectorInterval) {
    return;
  }
  m_last_round = now;
  auto round = std::make_shared<Round>();
  round->started = now;
  round->era = m_view->Era();
  round->members = m_view->Members().size() - 1;
  m_newest_round = round;
  std::vector<std::tuple<uint64_t, InstanceId, std::string>> peers;
  for (const auto& [id, member] : m_view->Members()) {
    if (id != m_self) {
      // Each round queries different members of a large fleet.
      peers.emplace_back(StableHash(id, absl::ToUnixNanos(now)), id,
                         member.peer_address);
    }
  }
  if (!asks_all) {
    std::partial_sort(peers.begin(), peers.begin() + kOtherPeers, peers.end());
    peers.resize(kOtherPeers);
    const InstanceId& collector =
        collectors[StableHash(m_self, absl::ToUnixNanos(now)) %
                   collectors.size()];
    peers.emplace_back(0, collector,
                       m_view->Members().at(collector).peer_address);
  }
  // Announced rows may be newer than rows that this instance lacks, so it asks
  // for all since its last complete reading.
  const VouchQuery query{m_self, m_incarnation, m_view->Version(), {}, {}};
  for (const auto& [hash, id, address] : peers) {
    m_transport->Vouch(address, query, kPeerCallTimeout,
                       [this, round, peer = InstanceId(id),
                        alive = m_alive](Result<VouchResponse> answer) {
                         if (*alive) {
                           OnAnswer(round, peer, std::move(answer));
                         }
                       });
  }
}

void PeerLeases::OnAnswer(const std::shared_ptr<Round>& round,
                          const InstanceId& peer,
                          Result<VouchResponse> answer) {
  if (!Ok(answer)) {
    round->replies[PeerReply::kNoAnswer].push_back(peer);
    return;
  }
  VouchResponse& vouch = ValueOf(answer);
  if (!vouch.responder.empty() && vouch.responder != peer) {
    round->replies[PeerReply::kOtherInstance].push_back(peer);
    return;
  }
  const uint64_t era = EraOf(vouch.leaders_version);
  if (era > m_view->Era() && era <= kMaxEra) {
    m_on_era(era);
  }
  if (round->era != m_view->Era()) {
    return;
  }
  const absl::Time as_of = round->started - vouch.reading_age;
  // A negative age would extend the lease into the future.
  if (vouch.has_reading && vouch.reading_age >= absl::ZeroDuration() &&
      vouch.member_known && vouch.leaders_version >= m_view->LeadersVersion() &&
      as_of > m_view->AsOf()) {
    round->replies[PeerReply::kVouched].push_back(peer);
    RowChanges changes;
    changes.rows = std::move(vouch.leaders);
    changes.as_of = as_of;
    m_on_rows(changes);
    return;
  }
  const bool has_news = std::any_of(
      vouch.leaders.begin(), vouch.leaders.end(),
      [this](const StoredRow& row) { return m_view->IsNewLeaderRow(row); });
  PeerReply reply = PeerReply::kDisagrees;
  // A reply without a name may be that of another instance.
  if (vouch.store_unreachable && !has_news && vouch.responder == peer) {
    const bool same_version = vouch.leaders_version == m_view->LeadersVersion();
    if (vouch.has_reading && vouch.member_known && same_version) {
      reply = PeerReply::kSameRows;
    } else if (!vouch.has_reading &&
               (vouch.leaders_version == 0 || same_version) &&
               m_view->LeaseValid(m_loop->Now())) {
      // Rows that were announced to it do not show that it knows older ones.
      reply = PeerReply::kReadNothing;
    }
  }
  if (has_news) {
    // A change that this instance has missed ends its use of the primary, but
    // the reading does not extend the lease.
    RowChanges changes;
    changes.rows = std::move(vouch.leaders);
    changes.as_of = absl::InfinitePast();
    m_on_rows(changes);
  }
  round->replies[reply].push_back(peer);
  round->agreeing_members += Agrees(reply) ? 1 : 0;
  if (round->agreeing_members == round->members && round->members > 0 &&
      round->started > m_view->AsOf() &&
      round->started < m_view->LastStoreRead() + kUnanimityLimit) {
    ++m_unanimous_rounds;
    LogUnanimity(*round);
    m_view->ExtendLease(round->started);
  }
}

void PeerLeases::LogUnanimity(const Round& round) {
  std::string replies = round.Describe();
  const absl::Time now = m_loop->Now();
  if (replies == m_logged_unanimity &&
      now < m_unanimity_logged_at + kUnanimityLogInterval) {
    return;
  }
  LOG(INFO) << "event=lease_by_unanimity " << replies << " store_read_ms_ago="
            << absl::ToInt64Milliseconds(now - m_view->LastStoreRead());
  m_logged_unanimity = std::move(replies);
  m_unanimity_logged_at = now;
}

std::string PeerLeases::DescribeLastRound() const {
  return m_newest_round == nullptr ? "" : m_newest_round->Describe();
}

VouchResponse PeerLeases::Answer(const VouchQuery& query,
                                 bool store_reachable,
                                 bool changing) const {
  VouchResponse answer;
  answer.responder = m_self;
  answer.responder_incarnation = m_incarnation;
  const auto member = m_view->Members().find(query.instance);
  answer.member_known = m_view->MembersCurrent() &&
                        member != m_view->Members().end() &&
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
