// Implements the probing of members, the suspicion of those that do not answer,
// and the gossip of member states.

#include "Source/decision/membership.h"

#include <algorithm>
#include <utility>

#include "absl/random/uniform_int_distribution.h"
#include "absl/random/uniform_real_distribution.h"

namespace heatherwick {

namespace {

// Number of times that an update is sent for each doubling of the region's
// size. With two, updates reach all members even if some messages are lost. A
// member that still misses an update learns it from the known states that
// messages repeat.
constexpr size_t kSendsPerDoubling = 2;

// Until this instance has sent an update this many times, the update depends on
// this instance to spread. Later copies mostly reach members that already know
// it.
constexpr size_t kFreshUpdateSends = 10;

absl::Duration RandomFraction(absl::Duration max_duration,
                              absl::BitGenRef random) {
  return max_duration * absl::uniform_real_distribution<double>(0, 1)(random);
}

}  // namespace

Membership::Membership(MemberRecord self,
                       MembershipOptions options,
                       absl::BitGenRef random,
                       absl::Time now)
    : m_options(options), m_random(random), m_self(std::move(self)) {
  m_self.state = MemberState::kAlive;
  m_updates.Add(m_self);
  // The random first times keep instances that start together from probing at
  // the same moments.
  m_next_probe = now + RandomFraction(m_options.probe_period, m_random);
  m_next_reconnect = now + RandomFraction(m_options.reconnect_period, m_random);
  m_next_cross_region =
      now + RandomFraction(m_options.cross_region_period, m_random);
}

void Membership::OnTick(absl::Time now,
                        std::vector<MembershipAction>* actions) {
  EndExpiredRounds(now, actions);
  EndExpiredSuspicions(now, actions);
  if (now >= m_next_probe) {
    m_next_probe = std::max(m_next_probe + ProbePeriod(), now);
    m_want_all = ++m_periods <= m_options.join_periods;
    for (const InstanceId& peer : PickPeers(1, m_self.id)) {
      StartRound(peer, now, actions);
    }
    ProbeCandidates(now, actions);
    ProbeSeed(actions);
  }
  if (now >= m_next_reconnect) {
    m_next_reconnect = now + m_options.reconnect_period;
    DropTombstones(now);
    ProbeDead(actions);
  }
  if (now >= m_next_cross_region) {
    m_next_cross_region = now + m_options.cross_region_period;
    ProbeOtherRegion(actions);
  }
}

// Messages -------------------------------------------------------------

void Membership::OnProbe(const MemberRecord& sender,
                         const std::vector<MemberRecord>& updates,
                         absl::Time now,
                         std::vector<MembershipAction>* actions) {
  RevertUnconfirmed(now, actions);
  MergeAndQueueRecord(sender, "contact", now, actions);
  for (const MemberRecord& update : updates) {
    MergeAndQueueRecord(update, "update", now, actions);
  }
}

std::vector<MemberRecord> Membership::ReplyUpdates(const MemberRecord& sender,
                                                   bool want_all) {
  if (!want_all) {
    return TakeUpdates(sender.id, sender.incarnation);
  }
  std::vector<MemberRecord> all;
  all.reserve(m_members.size());
  for (const auto& [id, entry] : m_members) {
    if (entry.record.state != MemberState::kCandidate) {
      all.push_back(entry.record);
    }
  }
  return all;
}

void Membership::OnProbeReply(ProbeId probe,
                              bool alive,
                              const MemberRecord& responder,
                              const std::vector<MemberRecord>& updates,
                              absl::Time now,
                              std::vector<MembershipAction>* actions) {
  const auto found = m_probes.find(probe);
  if (found == m_probes.end()) {
    return;
  }
  const OutstandingProbe outstanding = found->second;
  m_probes.erase(found);
  RevertUnconfirmed(now, actions);
  MergeAndQueueRecord(responder, "contact", now, actions);
  for (const MemberRecord& update : updates) {
    if (outstanding.wants_all) {
      // The replier's whole view is mostly old information. Passing it on would
      // delay new updates.
      MergeRecord(update, "joined", now, actions);
    } else {
      MergeAndQueueRecord(update, "update", now, actions);
    }
  }
  m_untried_candidates.erase(outstanding.member);
  if (!outstanding.relayed && responder.id != outstanding.member) {
    MarkReplacedMemberDead(outstanding.member, now, actions);
    return;
  }
  if (!outstanding.relayed || alive) {
    EndSuccessfulRound(outstanding.member);
    return;
  }
  OnRelayResult(outstanding.member, /*confirms_failure=*/true, now, actions);
}

void Membership::OnProbeFailed(ProbeId probe,
                               absl::Time now,
                               std::vector<MembershipAction>* actions) {
  const auto found = m_probes.find(probe);
  if (found == m_probes.end()) {
    return;
  }
  const OutstandingProbe outstanding = found->second;
  m_probes.erase(found);
  m_untried_candidates.erase(outstanding.member);
  if (outstanding.relayed) {
    OnRelayResult(outstanding.member, /*confirms_failure=*/false, now, actions);
    return;
  }
  const auto round = m_rounds.find(outstanding.member);
  if (round != m_rounds.end() && !round->second.indirect) {
    StartIndirectProbes(outstanding.member, now, actions);
  }
}

std::vector<MemberRecord> Membership::TakeUpdates(
    const InstanceId& peer,
    const std::string& peer_incarnation) {
  std::vector<MemberRecord> updates;
  const auto found = m_members.find(peer);
  // A record that the peer may have to refute goes first, so that the peer
  // learns it before the suspicion expires.
  if (found != m_members.end()) {
    const MemberRecord& record = found->second.record;
    if (record.state == MemberState::kSuspect ||
        record.state == MemberState::kDead ||
        record.incarnation > peer_incarnation) {
      updates.push_back(record);
    }
  }
  m_updates.Take(m_options.max_updates - updates.size(), SendLimit(), peer,
                 &updates);
  AddRefreshRecords(&updates);
  return updates;
}

void Membership::AddRefreshRecords(std::vector<MemberRecord>* updates) {
  const size_t limit = std::min(m_options.max_updates,
                                updates->size() + m_options.refresh_updates);
  if (m_last_refreshed.empty() && !m_members.empty()) {
    // Starts at a random member, so that instances that start together do not
    // all repeat the same members.
    const size_t index = absl::uniform_int_distribution<size_t>(
        0, m_members.size() - 1)(m_random);
    m_last_refreshed =
        std::next(m_members.begin(), static_cast<ptrdiff_t>(index))->first;
  }
  size_t tried = 0;
  while (updates->size() < limit && tried < m_members.size()) {
    auto next = m_members.upper_bound(m_last_refreshed);
    if (next == m_members.end()) {
      next = m_members.begin();
    }
    m_last_refreshed = next->first;
    ++tried;
    const MemberState state = next->second.record.state;
    if (state != MemberState::kCandidate && state != MemberState::kSuspect &&
        !m_unconfirmed.contains(m_last_refreshed)) {
      updates->push_back(next->second.record);
    }
  }
}

absl::Duration Membership::ProbePeriod() const {
  const bool backlog =
      m_updates.CountSentLessThan(kFreshUpdateSends) > m_options.max_updates;
  return backlog ? m_options.backlog_period : m_options.probe_period;
}

size_t Membership::SendLimit() const {
  size_t doublings = 1;
  for (size_t size = m_peers.size(); size > 1; size /= 2) {
    ++doublings;
  }
  return kSendsPerDoubling * doublings;
}

// Member records ---------------------------------------------------------

void Membership::MergeAndQueueRecord(const MemberRecord& record,
                                     absl::string_view reason,
                                     absl::Time now,
                                     std::vector<MembershipAction>* actions) {
  if (MergeRecord(record, reason, now, actions)) {
    m_updates.Add(record);
  }
}

bool Membership::MergeRecord(const MemberRecord& record,
                             absl::string_view reason,
                             absl::Time now,
                             std::vector<MembershipAction>* actions) {
  if (record.id == m_self.id) {
    MergeRecordOfSelf(record, actions);
    return false;
  }
  if (record.id.empty() || record.incarnation.empty() ||
      record.state == MemberState::kCandidate ||
      (record.state == MemberState::kSuspect && !IsLocal(record))) {
    return false;
  }
  const auto found = m_members.find(record.id);
  if (found != m_members.end() && !Supersedes(record, found->second.record)) {
    return false;
  }
  if (found == m_members.end() && record.state == MemberState::kDead) {
    // The record is kept so that late updates cannot revive the member. The
    // member was unknown, so its death is neither reported nor passed on.
    StoreRecord(record, now);
    return false;
  }
  const MemberState before = found == m_members.end()
                                 ? MemberState::kCandidate
                                 : found->second.record.state;
  StoreRecord(record, now);
  actions->push_back(MemberChanged{record, before, reason});
  return true;
}

void Membership::MergeRecordOfSelf(const MemberRecord& record,
                                   std::vector<MembershipAction>* actions) {
  if (record.incarnation > m_self.incarnation) {
    m_self.incarnation = NextIncarnation(record.incarnation);
    ++m_version;
    m_updates.Add(m_self);
    actions->push_back(IncarnationRaised{m_self.incarnation});
    return;
  }
  if (record.incarnation != m_self.incarnation || !Supersedes(record, m_self)) {
    return;
  }
  m_self.generation = record.generation + 1;
  m_updates.Add(m_self);
  actions->push_back(MemberChanged{m_self, record.state, "refuted"});
}

void Membership::StoreRecord(const MemberRecord& record, absl::Time now) {
  Entry& entry = m_members[record.id];
  const bool served_before = MayServe(entry.record);
  const bool was_suspect = entry.record.state == MemberState::kSuspect;
  const bool moved = entry.record.address != record.address ||
                     entry.record.incarnation != record.incarnation;
  entry.record = record;
  entry.state_since = now;
  entry.failed_rounds = 0;
  const bool serves_now = MayServe(record);
  // A suspect may serve, but only when nobody else does.
  const bool rank_changed =
      moved || was_suspect != (record.state == MemberState::kSuspect);
  if (served_before != serves_now || (serves_now && rank_changed)) {
    ++m_version;
  }
  m_peers_stale = true;
  m_rounds.erase(record.id);
  m_untried_candidates.erase(record.id);
  m_unconfirmed.erase(record.id);
  const auto update_set = [&](absl::btree_set<InstanceId>* set,
                              MemberState state) {
    if (record.state == state && IsLocal(record)) {
      set->insert(record.id);
    } else {
      set->erase(record.id);
    }
  };
  update_set(&m_suspects, MemberState::kSuspect);
  update_set(&m_dead, MemberState::kDead);
  update_set(&m_candidates, MemberState::kCandidate);
}

void Membership::SetState(const InstanceId& id,
                          MemberState state,
                          bool confirmed,
                          absl::string_view reason,
                          absl::Time now,
                          std::vector<MembershipAction>* actions) {
  MemberRecord record = m_members[id].record;
  const MemberState before = record.state;
  record.state = state;
  StoreRecord(record, now);
  if (confirmed) {
    m_updates.Add(record);
  } else {
    m_unconfirmed.insert(id);
  }
  actions->push_back(MemberChanged{record, before, reason});
}

void Membership::RevertUnconfirmed(absl::Time now,
                                   std::vector<MembershipAction>* actions) {
  const std::vector<InstanceId> reverted(m_unconfirmed.begin(),
                                         m_unconfirmed.end());
  for (const InstanceId& id : reverted) {
    MemberRecord record = m_members[id].record;
    const MemberState before = record.state;
    record.state = MemberState::kAlive;
    StoreRecord(record, now);
    actions->push_back(MemberChanged{record, before, "contact_restored"});
  }
}

bool Membership::MayServe(const MemberRecord& record) const {
  return record.state == MemberState::kAlive ||
         record.state == MemberState::kSuspect;
}

std::vector<MemberRecord> Membership::ServingMembers() const {
  std::vector<MemberRecord> serving;
  bool self_added = m_self.state != MemberState::kAlive;
  for (const auto& [id, entry] : m_members) {
    if (!self_added && id > m_self.id) {
      serving.push_back(m_self);
      self_added = true;
    }
    if (MayServe(entry.record)) {
      serving.push_back(entry.record);
    }
  }
  if (!self_added) {
    serving.push_back(m_self);
  }
  return serving;
}

const MemberRecord* Membership::Find(const InstanceId& id) const {
  const auto found = m_members.find(id);
  return found == m_members.end() ? nullptr : &found->second.record;
}

std::vector<MemberRecord> Membership::All() const {
  std::vector<MemberRecord> all{m_self};
  for (const auto& [id, entry] : m_members) {
    all.push_back(entry.record);
  }
  return all;
}

// Probes ----------------------------------------------------------------

void Membership::Probe(const InstanceId& member,
                       const InstanceId& relay,
                       std::vector<MembershipAction>* actions) {
  const MemberRecord& tested = m_members[member].record;
  const bool relayed = !relay.empty();
  const MemberRecord& receiver = relayed ? m_members[relay].record : tested;
  SendProbe send;
  send.probe = ++m_last_probe;
  send.to = receiver.id;
  send.address = receiver.address;
  send.relay_to = relayed ? tested.address : "";
  send.want_all =
      !relayed && IsLocal(receiver) && m_periods <= m_options.join_periods;
  send.updates = TakeUpdates(receiver.id, receiver.incarnation);
  m_probes[send.probe] = OutstandingProbe{member, relayed, send.want_all};
  actions->push_back(std::move(send));
}

void Membership::StartRound(const InstanceId& member,
                            absl::Time now,
                            std::vector<MembershipAction>* actions) {
  if (!m_rounds
           .emplace(member, ProbeRound{false, now + m_options.probe_timeout})
           .second) {
    return;
  }
  Probe(member, "", actions);
}

void Membership::StartIndirectProbes(const InstanceId& member,
                                     absl::Time now,
                                     std::vector<MembershipAction>* actions) {
  const std::vector<InstanceId> relays =
      PickPeers(m_options.num_relays, member);
  ProbeRound& round = m_rounds[member];
  round.indirect = true;
  round.ends = now + m_options.indirect_timeout;
  round.relays_outstanding = relays.size();
  for (const InstanceId& relay : relays) {
    Probe(member, relay, actions);
  }
  if (relays.empty()) {
    // In a region of two there is no third member that could relay a probe, so
    // the failed direct probe counts as confirmed.
    round.relays_confirming_failure = 1;
    ConcludeFailedRound(member, now, actions);
  }
}

void Membership::OnRelayResult(const InstanceId& member,
                               bool confirms_failure,
                               absl::Time now,
                               std::vector<MembershipAction>* actions) {
  const auto found = m_rounds.find(member);
  if (found == m_rounds.end() || !found->second.indirect) {
    return;
  }
  ProbeRound& round = found->second;
  round.relays_confirming_failure += confirms_failure ? 1 : 0;
  if (--round.relays_outstanding == 0) {
    ConcludeFailedRound(member, now, actions);
  }
}

void Membership::EndSuccessfulRound(const InstanceId& member) {
  m_rounds.erase(member);
  const auto found = m_members.find(member);
  if (found != m_members.end()) {
    found->second.failed_rounds = 0;
  }
}

void Membership::MarkReplacedMemberDead(
    const InstanceId& member,
    absl::Time now,
    std::vector<MembershipAction>* actions) {
  m_rounds.erase(member);
  const auto found = m_members.find(member);
  if (found != m_members.end() && IsLocal(found->second.record) &&
      found->second.record.state != MemberState::kCandidate) {
    SetState(member, MemberState::kDead, true, "address_taken_over", now,
             actions);
  }
}

void Membership::ConcludeFailedRound(const InstanceId& member,
                                     absl::Time now,
                                     std::vector<MembershipAction>* actions) {
  const ProbeRound round = m_rounds[member];
  m_rounds.erase(member);
  const auto found = m_members.find(member);
  if (found == m_members.end()) {
    return;
  }
  Entry& entry = found->second;
  ++entry.failed_rounds;
  // If no relay answers, this instance may itself be cut off.
  const bool confirmed_by_relay = round.relays_confirming_failure > 0;
  if (!confirmed_by_relay &&
      entry.failed_rounds < m_options.max_unconfirmed_rounds) {
    return;
  }
  const absl::string_view reason =
      confirmed_by_relay ? "no_reply" : "no_reply_and_no_relay";
  if (entry.record.state == MemberState::kAlive) {
    SetState(member, MemberState::kSuspect, confirmed_by_relay, reason, now,
             actions);
  } else if (entry.record.state == MemberState::kLeaving) {
    SetState(member, MemberState::kDead, true, "left", now, actions);
  }
}

void Membership::EndExpiredRounds(absl::Time now,
                                  std::vector<MembershipAction>* actions) {
  std::vector<InstanceId> ended;
  for (const auto& [member, round] : m_rounds) {
    if (now >= round.ends) {
      ended.push_back(member);
    }
  }
  for (const InstanceId& member : ended) {
    if (m_rounds[member].indirect) {
      ConcludeFailedRound(member, now, actions);
    } else {
      StartIndirectProbes(member, now, actions);
    }
  }
}

void Membership::EndExpiredSuspicions(absl::Time now,
                                      std::vector<MembershipAction>* actions) {
  std::vector<InstanceId> expired;
  for (const InstanceId& id : m_suspects) {
    if (now >= m_members[id].state_since + m_options.suspicion_timeout) {
      expired.push_back(id);
    }
  }
  for (const InstanceId& id : expired) {
    SetState(id, MemberState::kDead, !m_unconfirmed.contains(id),
             "suspicion_expired", now, actions);
  }
}

void Membership::ProbeCandidates(absl::Time now,
                                 std::vector<MembershipAction>* actions) {
  std::vector<InstanceId> due;
  for (const InstanceId& id : m_candidates) {
    if (now >= m_members[id].retry_at) {
      due.push_back(id);
    }
  }
  std::shuffle(due.begin(), due.end(), m_random);
  due.resize(std::min(due.size(), m_options.candidate_probes_per_period));
  for (const InstanceId& id : due) {
    m_members[id].retry_at = now + m_options.candidate_retry;
    Probe(id, "", actions);
  }
}

void Membership::ProbeSeed(std::vector<MembershipAction>* actions) {
  RebuildPeers();
  if (!m_peers.empty() || m_seeds.empty()) {
    return;
  }
  const size_t index =
      absl::uniform_int_distribution<size_t>(0, m_seeds.size() - 1)(m_random);
  SendProbe send;
  send.probe = ++m_last_probe;
  send.address = m_seeds[index];
  send.want_all = true;
  send.updates.push_back(m_self);
  // The name of the instance at this address is unknown until it answers.
  m_probes[send.probe] = OutstandingProbe{"", false, true};
  actions->push_back(std::move(send));
}

void Membership::ProbeDead(std::vector<MembershipAction>* actions) {
  if (m_dead.empty()) {
    return;
  }
  const size_t index =
      absl::uniform_int_distribution<size_t>(0, m_dead.size() - 1)(m_random);
  Probe(*std::next(m_dead.begin(), static_cast<ptrdiff_t>(index)), "", actions);
}

void Membership::ProbeOtherRegion(std::vector<MembershipAction>* actions) {
  RebuildPeers();
  if (m_other_region_members.empty()) {
    return;
  }
  const size_t index = absl::uniform_int_distribution<size_t>(
      0, m_other_region_members.size() - 1)(m_random);
  Probe(m_other_region_members[index], "", actions);
}

// The platform's list, failed calls and leaving ------------------------------

void Membership::OnInstanceList(const std::vector<MemberRecord>& listed,
                                absl::Time now,
                                std::vector<MembershipAction>* actions) {
  absl::btree_set<InstanceId> named;
  for (const MemberRecord& record : listed) {
    named.insert(record.id);
    if (record.id == m_self.id || m_members.contains(record.id) ||
        record.state == MemberState::kLeaving) {
      continue;
    }
    MemberRecord candidate = record;
    candidate.state = MemberState::kCandidate;
    candidate.incarnation.clear();
    candidate.generation = 0;
    StoreRecord(candidate, now);
    if (IsLocal(candidate)) {
      m_untried_candidates.insert(candidate.id);
    }
    actions->push_back(
        MemberChanged{candidate, MemberState::kCandidate, "listed"});
  }
  for (auto entry = m_members.begin(); entry != m_members.end();) {
    const bool should_erase =
        entry->second.record.state == MemberState::kCandidate &&
        !named.contains(entry->first);
    entry = should_erase ? EraseMember(entry) : std::next(entry);
  }
}

void Membership::OnUnreachable(const InstanceId& id,
                               absl::Time now,
                               std::vector<MembershipAction>* actions) {
  const auto found = m_members.find(id);
  if (found != m_members.end() && MayServe(found->second.record) &&
      IsLocal(found->second.record)) {
    StartRound(id, now, actions);
  }
}

void Membership::Leave(size_t fanout,
                       absl::Time now,
                       std::vector<MembershipAction>* actions) {
  if (m_self.state == MemberState::kLeaving) {
    return;
  }
  m_self.state = MemberState::kLeaving;
  ++m_self.generation;
  ++m_version;
  m_updates.Add(m_self);
  actions->push_back(MemberChanged{m_self, MemberState::kAlive, "leaving"});
  for (const InstanceId& peer : PickPeers(fanout, m_self.id)) {
    StartRound(peer, now, actions);
  }
}

Membership::MemberMap::iterator Membership::EraseMember(
    MemberMap::iterator entry) {
  const InstanceId id = entry->first;
  m_dead.erase(id);
  m_candidates.erase(id);
  m_untried_candidates.erase(id);
  m_unconfirmed.erase(id);
  m_peers_stale = true;
  return m_members.erase(entry);
}

void Membership::DropTombstones(absl::Time now) {
  for (auto entry = m_members.begin(); entry != m_members.end();) {
    const bool should_erase =
        entry->second.record.state == MemberState::kDead &&
        now >= entry->second.state_since + m_options.tombstone_retention;
    entry = should_erase ? EraseMember(entry) : std::next(entry);
  }
}

void Membership::RebuildPeers() {
  if (!m_peers_stale) {
    return;
  }
  m_peers_stale = false;
  m_peers.clear();
  m_other_region_members.clear();
  for (const auto& [id, entry] : m_members) {
    const MemberState state = entry.record.state;
    if (!IsLocal(entry.record)) {
      if (state != MemberState::kDead) {
        m_other_region_members.push_back(id);
      }
    } else if (state != MemberState::kDead &&
               state != MemberState::kCandidate) {
      m_peers.push_back(id);
    }
  }
}

std::vector<InstanceId> Membership::PickPeers(size_t count,
                                              const InstanceId& excluded) {
  RebuildPeers();
  std::vector<InstanceId> picked;
  // Selection sampling: each subset of `count` peers is equally likely.
  const bool contains_excluded =
      std::binary_search(m_peers.begin(), m_peers.end(), excluded);
  size_t remaining = m_peers.size() - (contains_excluded ? 1 : 0);
  for (const InstanceId& peer : m_peers) {
    if (picked.size() == count) {
      break;
    }
    if (peer == excluded) {
      continue;
    }
    const size_t draw =
        absl::uniform_int_distribution<size_t>(0, remaining - 1)(m_random);
    if (draw < count - picked.size()) {
      picked.push_back(peer);
    }
    --remaining;
  }
  return picked;
}

}  // namespace heatherwick
