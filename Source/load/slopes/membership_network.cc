// The message queue, message loss and partitions of MembershipNetwork.

#include "Source/load/slopes/membership_network.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "Source/proto/peer.pb.h"
#include "Source/runtime/member_codec.h"
#include "absl/strings/str_cat.h"

namespace heatherwick {

namespace {

constexpr absl::Duration kTickPeriod = absl::Milliseconds(50);
constexpr size_t kDataCentresPerRegion = 3;

}  // namespace

MembershipNetwork::MembershipNetwork(NetworkOptions options)
    : m_options(options),
      m_random(options.seed),
      m_partitioned(options.regions, false) {
  for (size_t i = 0; i < options.regions * options.nodes_per_region; ++i) {
    m_nodes.push_back(std::make_unique<Node>());
    const MemberRecord record = RecordOf(i);
    m_index[record.id] = i;
    m_index[record.address] = i;
  }
  JoinAll();
}

MembershipNetwork::~MembershipNetwork() = default;

MemberRecord MembershipNetwork::RecordOf(size_t node) const {
  const size_t region = RegionOf(node);
  MemberRecord record;
  record.id = absl::StrCat("instance-", 10000 + node);
  record.address =
      absl::StrCat("10.", region, ".", node / 200, ".", node % 200, ":7000");
  record.region = absl::StrCat("region-", region);
  record.data_centre =
      absl::StrCat("dc-", region, "-", node % kDataCentresPerRegion);
  record.incarnation =
      absl::StrCat("19a3c5d7e00", 1000 + m_nodes[node]->starts);
  record.state = MemberState::kAlive;
  return record;
}

void MembershipNetwork::JoinAll() {
  std::vector<MemberRecord> all;
  for (size_t i = 0; i < m_nodes.size(); ++i) {
    all.push_back(RecordOf(i));
  }
  for (size_t i = 0; i < m_nodes.size(); ++i) {
    Join(i, all);
    ScheduleTick(i, kTickPeriod * (static_cast<double>(i) /
                                   static_cast<double>(m_nodes.size())));
  }
}

// Lets the node ask a seed for all members. No virtual time passes.
void MembershipNetwork::Join(size_t node,
                             const std::vector<MemberRecord>& all) {
  auto membership = std::make_unique<Membership>(
      RecordOf(node), m_options.membership, m_random, m_now);
  const MemberRecord& seed = all[node == 0 ? 1 : 0];
  membership->SetSeeds({seed.address});
  Actions actions;
  membership->OnTick(m_now + m_options.membership.probe_period, &actions);
  for (const MembershipAction& action : actions) {
    if (const auto* send = std::get_if<SendProbe>(&action)) {
      Actions ignored;
      membership->OnProbeReply(send->probe, true, seed, all, m_now, &ignored);
    }
  }
  m_nodes[node]->membership = std::move(membership);
}

void MembershipNetwork::Schedule(absl::Duration after,
                                 std::function<void()> run) {
  m_events.push({m_now + after, ++m_last_sequence, std::move(run)});
}

void MembershipNetwork::ScheduleTick(size_t node, absl::Duration after) {
  Schedule(after, [this, node] {
    if (m_nodes[node]->up) {
      Actions actions;
      m_nodes[node]->membership->OnTick(m_now, &actions);
      Perform(node, actions);
    }
    ScheduleTick(node, kTickPeriod);
  });
}

void MembershipNetwork::Run(absl::Duration duration) {
  const absl::Time end = m_now + duration;
  while (!m_events.empty() && m_events.top().at <= end) {
    const auto run = m_events.top().run;
    m_now = m_events.top().at;
    m_events.pop();
    run();
  }
  m_now = end;
}

void MembershipNetwork::Leave(size_t node) {
  Actions actions;
  // The same value as kLeaveFanout in member_manager.cc.
  constexpr size_t kFanout = 32;
  m_nodes[node]->membership->Leave(kFanout, m_now, &actions);
  Perform(node, actions);
}

void MembershipNetwork::Restart(size_t node) {
  std::vector<MemberRecord> all;
  for (size_t i = 0; i < m_nodes.size(); ++i) {
    if (m_nodes[i]->up) {
      all.push_back(m_nodes[i]->membership->Self());
    }
  }
  ++m_nodes[node]->starts;
  m_nodes[node]->up = true;
  Join(node, all);
}

void MembershipNetwork::SetSheet(size_t node, uint64_t version) {
  m_nodes[node]->sheet = std::max(m_nodes[node]->sheet, version);
}

MemberState MembershipNetwork::StateAt(size_t observer, size_t member) const {
  const MemberRecord* record = m_nodes[observer]->membership->Find(
      m_nodes[member]->membership->Self().id);
  return record == nullptr ? MemberState::kCandidate : record->state;
}

bool MembershipNetwork::Connected(size_t from, size_t to) const {
  const size_t from_region = RegionOf(from);
  const size_t to_region = RegionOf(to);
  return from_region == to_region ||
         (!m_partitioned[from_region] && !m_partitioned[to_region]);
}

bool MembershipNetwork::Arrives(size_t from, size_t to) {
  return m_nodes[to]->up && Connected(from, to) &&
         std::uniform_real_distribution<double>(0, 1)(m_random) >=
             m_options.loss;
}

absl::Duration MembershipNetwork::Latency(size_t from, size_t to) const {
  return RegionOf(from) == RegionOf(to) ? m_options.latency
                                        : m_options.cross_latency;
}

void MembershipNetwork::Perform(size_t node, const Actions& actions) {
  for (const MembershipAction& action : actions) {
    if (const auto* send = std::get_if<SendProbe>(&action)) {
      Send(node, *send);
    } else if (const auto* change = std::get_if<MemberChanged>(&action)) {
      m_traffic.deaths += change->member.state == MemberState::kDead ? 1 : 0;
    }
  }
}

void MembershipNetwork::Send(size_t from, const SendProbe& send) {
  const size_t to = m_index.at(send.address);
  if (!Arrives(from, to)) {
    Schedule(m_options.membership.probe_deadline,
             [this, from, probe = send.probe] { FailProbe(from, probe); });
    return;
  }
  Schedule(Latency(from, to),
           [this, from, to, send] { Receive(from, to, send); });
}

void MembershipNetwork::Receive(size_t from, size_t to, const SendProbe& send) {
  Node& receiver = *m_nodes[to];
  if (!receiver.up) {
    Schedule(m_options.membership.probe_deadline,
             [this, from, probe = send.probe] { FailProbe(from, probe); });
    return;
  }
  const MemberRecord sender = m_nodes[from]->membership->Self();
  Actions actions;
  receiver.membership->OnProbe(sender, Transfer(sender, send.updates), m_now,
                               &actions);
  Perform(to, actions);
  FetchNewerSheet(to, from, m_nodes[from]->sheet);
  if (send.relay_to.empty()) {
    Reply(from, to, send, true);
    return;
  }
  const size_t probed = m_index.at(send.relay_to);
  const bool alive = Arrives(to, probed);
  Schedule(alive ? 2 * Latency(to, probed) : m_options.membership.probe_timeout,
           [this, from, to, send, alive] { Reply(from, to, send, alive); });
}

void MembershipNetwork::Reply(size_t from,
                              size_t to,
                              const SendProbe& send,
                              bool alive) {
  const Membership& responder = *m_nodes[to]->membership;
  const auto updates = Transfer(
      responder.Self(), m_nodes[to]->membership->ReplyUpdates(
                            m_nodes[from]->membership->Self(), send.want_all));
  const uint64_t sheet = m_nodes[to]->sheet;
  Schedule(Latency(from, to), [this, from, to, probe = send.probe, alive,
                               self = responder.Self(), updates, sheet] {
    Node& sender = *m_nodes[from];
    if (!sender.up) {
      return;
    }
    Actions actions;
    sender.membership->OnProbeReply(probe, alive, self, updates, m_now,
                                    &actions);
    Perform(from, actions);
    FetchNewerSheet(from, to, sheet);
  });
}

void MembershipNetwork::FailProbe(size_t from, ProbeId probe) {
  if (!m_nodes[from]->up) {
    return;
  }
  Actions actions;
  m_nodes[from]->membership->OnProbeFailed(probe, m_now, &actions);
  Perform(from, actions);
}

std::vector<MemberRecord> MembershipNetwork::Transfer(
    const MemberRecord& sender,
    const std::vector<MemberRecord>& updates) {
  proto::ProbeRequest message;
  ToProto(sender, message.mutable_sender());
  ToProto(updates, message.mutable_updates());
  message.set_sheet_version(1);
  const std::string encoded = message.SerializeAsString();
  ++m_traffic.messages;
  m_traffic.bytes += encoded.size();
  proto::ProbeRequest decoded;
  decoded.ParseFromString(encoded);
  return FromProto(decoded.updates());
}

// The node fetches a newer sheet from the peer that reported its version, which
// takes one more round trip.
void MembershipNetwork::FetchNewerSheet(size_t to,
                                        size_t from,
                                        uint64_t version) {
  if (version > m_nodes[to]->sheet) {
    Schedule(2 * Latency(from, to),
             [this, to, version] { SetSheet(to, version); });
  }
}

}  // namespace heatherwick
