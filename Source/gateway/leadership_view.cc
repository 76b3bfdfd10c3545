// Decodes leadership rows. A row that cannot be decoded is logged and skipped,
// and its last valid version stays in force: forgetting a member or a change
// could end a wait that promotions depend on. The other rows are applied.

#include "Source/gateway/leadership_view.h"

#include <utility>

#include "Source/base/enum_table.h"
#include "Source/base/json_reader.h"
#include "Source/gateway/store_version.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"
#include "nlohmann/json.hpp"

namespace heatherwick {
namespace {

using nlohmann::json;

constexpr EnumName<LeaseSource> kLeaseSourceNames[] = {
    {LeaseSource::kNone, "none"},
    {LeaseSource::kStore, "store"},
    {LeaseSource::kPeer, "peer"},
    {LeaseSource::kUnanimity, "unanimity"},
};
constexpr char kMemberPrefix[] = "member/";
constexpr char kLeaderPrefix[] = "leader/";
constexpr char kReplicasPrefix[] = "replicas/";
constexpr char kConfirmationPrefix[] = "confirmed/";
constexpr char kVotePrefix[] = "vote/";
constexpr char kPromotionLock[] = "duty";
// Relays multiply capacities; this keeps the product within 64 bits.
constexpr uint64_t kMaxCapacity = 1000000000;

Error InvalidKey() {
  return {ErrorKind::kInvalidArgument, "the row's key has no valid name",
          "check what wrote the row"};
}

}  // namespace

absl::string_view LeaseSourceName(LeaseSource source) {
  return NameOf(kLeaseSourceNames, source);
}

LeadershipView::LeadershipView(InstanceId self, uint64_t incarnation)
    : m_self(std::move(self)), m_incarnation(incarnation) {}

std::set<GroupName> LeadershipView::Apply(const RowChanges& changes,
                                          absl::Time now) {
  std::set<GroupName> changed;
  if (changes.version > 0 && EraOf(changes.version) != m_era) {
    return changed;
  }
  std::map<InstanceId, MemberRow> members_before;
  if (changes.snapshot) {
    members_before.swap(m_members);
    ++m_members_revision;
    m_table_read_at = now;
    if (m_era_read_at == absl::InfinitePast()) {
      m_era_read_at = now;
    }
    m_earlier_rows.clear();
    m_confirmations.clear();
    m_votes.clear();
    m_promotion_lock.holder.clear();
  }
  for (const StoredRow& row : changes.rows) {
    const Status applied = ApplyRow(row, now, &changed);
    if (Ok(applied)) {
      m_rejected_rows.Accept(row.key);
    } else {
      m_rejected_rows.Reject(row.key, ErrorOf(applied));
    }
  }
  for (const auto& [id, member] : members_before) {
    if (!m_members.contains(id)) {
      RemoveMember(id, member, now);
    }
  }
  ApplyEarlierRows(changes.earlier_rows, now);
  // No lease lasts longer without a row (see kUnanimityLimit).
  std::erase_if(m_departed, [now](const auto& departed) {
    return now - departed.second.seen > kUnanimityLimit + 2 * kLeaderLease;
  });
  if (changes.version > 0) {
    m_version = std::max(m_version, changes.version);
    m_last_store_read = std::max(m_last_store_read, changes.as_of);
  }
  if (changes.as_of > m_as_of) {
    m_as_of = changes.as_of;
    m_lease_source =
        changes.version > 0 ? LeaseSource::kStore : LeaseSource::kPeer;
  }
  return changed;
}

void LeadershipView::BeginEra(uint64_t era, absl::Time now) {
  const bool lease_valid = LeaseValid(now);
  for (const auto& [group, leader] : m_leaders) {
    EarlierLeader earlier{leader};
    if (lease_valid && leader.phase == LeaderPhase::kOpen) {
      earlier.lease_end = m_as_of + kLeaderLease;
    }
    m_earlier_leaders[group] = earlier;
  }
  // A leader that was proven in an era of which nothing was read, too.
  for (auto& [group, earlier] : m_earlier_leaders) {
    earlier.proven = now < earlier.lease_end;
  }
  const auto era_members =
      std::make_shared<const std::map<InstanceId, MemberRow>>(m_members);
  for (const auto& [id, member] : *era_members) {
    RemoveMember(id, member, now);
    const auto departed = m_departed.find(id);
    if (departed != m_departed.end()) {
      departed->second.era_members = era_members;
    }
  }
  m_era = era;
  m_era_read_at = absl::InfinitePast();
  m_version = QualifyVersion(era, 0);
  m_leaders_version = m_version;
  m_as_of = absl::InfinitePast();
  m_lease_source = LeaseSource::kNone;
  m_last_store_read = absl::InfinitePast();
  m_leaders.clear();
  m_leader_rows.clear();
  for (auto& [group, replicas] : m_replicas) {
    m_earlier_replicas[group] = std::move(replicas);
  }
  m_replicas.clear();
  m_members.clear();
  ++m_members_revision;
  m_confirmations.clear();
  m_votes.clear();
  m_promotion_lock = {};
  m_earlier_rows.clear();
}

const EarlierLeader* LeadershipView::Earlier(const GroupName& group) const {
  const auto found = m_earlier_leaders.find(group);
  return found == m_earlier_leaders.end() ? nullptr : &found->second;
}

const RecordedReplicas* LeadershipView::EarlierReplicas(
    const GroupName& group) const {
  const auto found = m_earlier_replicas.find(group);
  return found == m_earlier_replicas.end() ? nullptr : &found->second;
}

const RecordedReplicas* LeadershipView::Replicas(const GroupName& group) const {
  const auto found = m_replicas.find(group);
  return found == m_replicas.end() ? nullptr : &found->second;
}

void LeadershipView::ApplyEarlierRows(const std::vector<StoredRow>& rows,
                                      absl::Time now) {
  std::set<std::pair<InstanceId, uint64_t>> left;  // With their incarnations.
  auto members = std::make_shared<std::map<InstanceId, MemberRow>>();
  for (const StoredRow& row : rows) {
    const std::pair stored(row.key, EraOf(row.version));
    if (row.deleted) {
      m_earlier_rows.erase(stored);
      continue;
    }
    m_earlier_rows.insert(stored);
    absl::string_view key = row.key;
    const Result<json> value = ParseJson(row.value);
    if (!Ok(value)) {
      continue;
    }
    JsonReader reader(ValueOf(value));
    if (absl::ConsumePrefix(&key, kLeaderPrefix)) {
      const Result<GroupLeader> parsed = ParseLeader(row, &reader);
      if (!Ok(parsed) || !IsName(key)) {
        continue;
      }
      EarlierLeader& earlier = m_earlier_leaders[std::string(key)];
      if (!earlier.proven &&
          ValueOf(parsed).row_version > earlier.leader.row_version) {
        earlier.leader = ValueOf(parsed);
      }
    } else if (absl::ConsumePrefix(&key, kReplicasPrefix)) {
      const Result<ReplicaSet> parsed = ParseReplicas(row);
      if (!Ok(parsed) || !IsName(key)) {
        continue;
      }
      RecordedReplicas& earlier = m_earlier_replicas[std::string(key)];
      if (row.version > earlier.row_version) {
        earlier = {ValueOf(parsed), row.version};
      }
    } else if (absl::ConsumePrefix(&key, kMemberPrefix)) {
      const Result<MemberRow> parsed = ParseMember(row, &reader);
      if (!Ok(parsed) || !IsName(key)) {
        continue;
      }
      MemberRow& member = (*members)[std::string(key)];
      if (ValueOf(parsed).row_version > member.row_version) {
        member = ValueOf(parsed);
      }
    } else if (absl::ConsumePrefix(&key, kConfirmationPrefix) &&
               reader.FlagOr("left", false)) {
      left.emplace(std::string(key),
                   reader.NumberOr("incarnation", 0, 0, kMaxCounter));
    }
  }
  for (const auto& [id, member] : *members) {
    if (!left.contains({id, member.incarnation}) && !m_members.contains(id)) {
      m_departed.try_emplace(id, DepartedMember{member, now, members});
    }
  }
}

Status LeadershipView::ApplyRow(const StoredRow& row,
                                absl::Time now,
                                std::set<GroupName>* changed) {
  if (row.version > kMaxCounter) {
    return Error{ErrorKind::kInvalidArgument, "the row's version is too large",
                 "check the store and the instance that sent the row"};
  }
  if (EraOf(row.version) != m_era) {
    return std::monostate{};  // Of a peer that is in another era.
  }
  absl::string_view key = row.key;
  if (absl::ConsumePrefix(&key, kReplicasPrefix)) {
    return ApplyReplicas(std::string(key), row);
  }
  const Result<json> value =
      row.deleted ? Result<json>(json::object()) : ParseJson(row.value);
  if (!Ok(value)) {
    return ErrorOf(value);
  }
  JsonReader reader(ValueOf(value));
  if (absl::ConsumePrefix(&key, kMemberPrefix)) {
    return ApplyMember(std::string(key), row, &reader, now);
  }
  if (absl::ConsumePrefix(&key, kConfirmationPrefix)) {
    return ApplyConfirmation(std::string(key), row, &reader);
  }
  if (absl::ConsumePrefix(&key, kVotePrefix)) {
    return ApplyVote(std::string(key), row, &reader);
  }
  if (absl::ConsumePrefix(&key, kLeaderPrefix)) {
    return ApplyLeader(std::string(key), row, &reader, now, changed);
  }
  if (key == kPromotionLock) {
    return ApplyPromotionLock(row, &reader, now);
  }
  return std::monostate{};
}

void LeadershipView::RemoveMember(const InstanceId& id,
                                  const MemberRow& row,
                                  absl::Time now) {
  const auto confirmation = m_confirmations.find(id);
  if (confirmation == m_confirmations.end() || !confirmation->second.left) {
    m_departed[id] = {row, now, nullptr};
  }
}

Result<MemberRow> LeadershipView::ParseMember(const StoredRow& row,
                                              JsonReader* reader) {
  MemberRow member;
  member.incarnation = reader->Number("incarnation", 0, kMaxCounter);
  member.peer_address = reader->Name("peer");
  member.data_centre = reader->NameOr("data_centre", "");
  member.capacity =
      static_cast<uint32_t>(reader->NumberOr("capacity", 0, 0, kMaxCapacity));
  member.row_version = row.version;
  const uint64_t joined = reader->NumberOr("joined", 0, 0, kMaxCounter);
  member.joined = joined > 0 ? joined : row.version;
  if (!Ok(reader->Result())) {
    return ErrorOf(reader->Result());
  }
  return member;
}

Status LeadershipView::ApplyMember(const InstanceId& id,
                                   const StoredRow& row,
                                   JsonReader* reader,
                                   absl::Time now) {
  if (row.deleted) {
    const auto known = m_members.find(id);
    MemberRow removed;
    removed.row_version = row.version;
    if (known != m_members.end()) {
      removed = known->second;
      m_members.erase(known);
    }
    RemoveMember(id, removed, now);
    ++m_members_revision;
    return std::monostate{};
  }
  const Result<MemberRow> parsed = ParseMember(row, reader);
  if (!Ok(parsed)) {
    return ErrorOf(parsed);
  }
  if (!IsName(id)) {
    return InvalidKey();
  }
  m_members[id] = ValueOf(parsed);
  m_departed.erase(id);
  ++m_members_revision;
  return std::monostate{};
}

Status LeadershipView::ApplyConfirmation(const InstanceId& id,
                                         const StoredRow& row,
                                         JsonReader* reader) {
  if (row.deleted) {
    return std::monostate{};
  }
  Confirmation confirmation;
  confirmation.incarnation = reader->Number("incarnation", 0, kMaxCounter);
  confirmation.epochs = reader->Counters("epochs");
  confirmation.left = reader->FlagOr("left", false);
  if (Ok(reader->Result())) {
    if (confirmation.left) {
      m_departed.erase(id);
    }
    m_confirmations[id] = std::move(confirmation);
  }
  return reader->Result();
}

Status LeadershipView::ApplyVote(const std::string& key,
                                 const StoredRow& row,
                                 JsonReader* reader) {
  const std::vector<std::string> parts = absl::StrSplit(key, '/');
  if (parts.size() != 2) {
    return InvalidKey();
  }
  if (row.deleted) {
    return std::monostate{};
  }
  Vote vote;
  vote.epoch = reader->Number("epoch", 0, kMaxCounter);
  vote.round = reader->Number("round", 0, kMaxCounter);
  vote.dead = reader->Flag("dead");
  if (Ok(reader->Result())) {
    m_votes[parts[0]][parts[1]] = vote;
  }
  return reader->Result();
}

Result<GroupLeader> LeadershipView::ParseLeader(const StoredRow& row,
                                                JsonReader* reader) {
  GroupLeader next;
  next.epoch = reader->Number("epoch", 0, kMaxCounter);
  next.phase =
      reader->Flag("open") ? LeaderPhase::kOpen : LeaderPhase::kChanging;
  next.primary = reader->Name("primary");
  next.claimed = reader->FlagOr("claimed", false);
  next.term = reader->NumberOr("term", 0, 0, kMaxCounter);
  next.holder = reader->Name("holder");
  next.holder_incarnation = reader->Number("incarnation", 0, kMaxCounter);
  next.planned = reader->Flag("planned");
  // The row of a change that an earlier version wrote does not show whether a
  // promotion was ordered.
  const uint64_t default_count =
      next.phase == LeaderPhase::kChanging && !reader->Has("orders") ? 1 : 0;
  next.orders.count = reader->NumberOr("orders", default_count, 0, kMaxCounter);
  next.orders.target = reader->NameOr("ordered", "");
  next.orders.term_before =
      reader->NumberOr("ordered_after", 0, 0, kMaxCounter);
  next.orders.received.term =
      reader->NumberOr("ordered_log_term", 0, 0, kMaxCounter);
  next.orders.received.lsn =
      reader->NumberOr("ordered_log_lsn", 0, 0, kMaxCounter);
  next.orders.recorded_after =
      reader->NumberOr("recorded_after", 0, 0, kMaxCounter);
  if (!Ok(reader->Result())) {
    return ErrorOf(reader->Result());
  }
  next.row_version = row.version;
  return next;
}

Status LeadershipView::ApplyLeader(const GroupName& group,
                                   const StoredRow& row,
                                   JsonReader* reader,
                                   absl::Time now,
                                   std::set<GroupName>* changed) {
  if (!IsName(group)) {
    return InvalidKey();
  }
  const GroupLeader& known = Leader(group);
  if (row.deleted || row.version <= known.row_version) {
    return std::monostate{};
  }
  const Result<GroupLeader> parsed = ParseLeader(row, reader);
  if (!Ok(parsed)) {
    return ErrorOf(parsed);
  }
  GroupLeader next = ValueOf(parsed);
  next.seen = now;
  const bool missed_epoch = next.epoch > known.epoch + 1;
  // An order of an earlier version has no record by which it is recognised. It
  // may belong to an epoch that was missed.
  const bool recognised = next.orders.recorded_after > 0 || !missed_epoch;
  const bool same_orders =
      reader->Has("orders") && known.phase != LeaderPhase::kUnknown &&
      recognised && known.orders.recorded_after == next.orders.recorded_after;
  next.orders_seen = same_orders ? known.orders_seen : now;
  if (next.phase == LeaderPhase::kChanging) {
    const bool again = known.phase == LeaderPhase::kChanging;
    next.change_epoch = again ? known.change_epoch : next.epoch;
    next.usable_until = again ? known.usable_until : m_as_of + kLeaderLease;
    // If an epoch was missed, a primary may have been open in it, which others
    // use until their leases expire.
    next.change_seen = again && !missed_epoch ? known.change_seen : now;
  }
  m_leaders[group] = next;
  m_leader_rows[row.key] = row;
  m_leaders_version = std::max(m_leaders_version, row.version);
  changed->insert(group);
  return std::monostate{};
}

Result<ReplicaSet> LeadershipView::ParseReplicas(const StoredRow& row) {
  const Result<json> value = ParseJson(row.value);
  if (!Ok(value)) {
    return ErrorOf(value);
  }
  const json runs = ValueOf(value).is_object()
                        ? ValueOf(value).value("runs", json())
                        : json();
  if (!runs.is_array()) {
    return Error{ErrorKind::kInvalidArgument, "runs is not a list",
                 "check what wrote the row"};
  }
  ReplicaSet replicas;
  for (const json& run : runs) {
    JsonReader reader(run);
    const TargetId id = reader.Name("target");
    const auto started =
        static_cast<int64_t>(reader.NumberOr("started", 0, 0, kMaxCounter));
    replicas[{id, started}] = {reader.NameOr("address", ""),
                               reader.FlagOr("draining", false)};
    if (!Ok(reader.Result())) {
      return ErrorOf(reader.Result());
    }
  }
  return replicas;
}

Status LeadershipView::ApplyReplicas(const GroupName& group,
                                     const StoredRow& row) {
  if (!IsName(group)) {
    return InvalidKey();
  }
  const auto known = m_replicas.find(group);
  if (row.deleted ||
      (known != m_replicas.end() && row.version <= known->second.row_version)) {
    return std::monostate{};
  }
  const Result<ReplicaSet> parsed = ParseReplicas(row);
  RecordedReplicas& recorded = m_replicas[group];
  recorded.row_version = row.version;
  recorded.complete = Ok(parsed);
  if (!Ok(parsed)) {
    // The next writer of the row needs its version.
    return ErrorOf(parsed);
  }
  recorded.replicas = ValueOf(parsed);
  return std::monostate{};
}

Status LeadershipView::ApplyPromotionLock(const StoredRow& row,
                                          JsonReader* reader,
                                          absl::Time now) {
  if (row.deleted || row.version < m_promotion_lock.row_version) {
    return std::monostate{};
  }
  PromotionLockRow lock;
  lock.holder = reader->NameOr("holder", "");
  lock.incarnation = reader->Number("incarnation", 0, kMaxCounter);
  lock.row_version = row.version;
  lock.seen =
      row.version == m_promotion_lock.row_version ? m_promotion_lock.seen : now;
  if (Ok(reader->Result())) {
    m_promotion_lock = lock;
  }
  return reader->Result();
}

bool LeadershipView::OwnRowPresent() const {
  const auto own = m_members.find(m_self);
  return own != m_members.end() && own->second.incarnation == m_incarnation;
}

bool LeadershipView::LeaseValid(absl::Time now) const {
  return !m_lease_renounced && now < m_as_of + kLeaderLease && OwnRowPresent();
}

void LeadershipView::RecordConfirmation(
    const InstanceId& id,
    uint64_t incarnation,
    const std::map<GroupName, uint64_t>& epochs) {
  Confirmation& confirmation = m_confirmations[id];
  if (confirmation.incarnation != incarnation) {
    confirmation = {incarnation, {}};
  }
  for (const auto& [group, epoch] : epochs) {
    uint64_t& known = confirmation.epochs[group];
    known = std::max(known, epoch);
  }
}

void LeadershipView::ExtendLease(absl::Time as_of) {
  if (as_of > m_as_of) {
    m_as_of = as_of;
    m_lease_source = LeaseSource::kUnanimity;
  }
}

const GroupLeader& LeadershipView::Leader(const GroupName& group) const {
  static const auto* const unknown = new GroupLeader();
  const auto found = m_leaders.find(group);
  return found == m_leaders.end() ? *unknown : found->second;
}

std::vector<StoredRow> LeadershipView::LeaderRowsAfter(uint64_t version) const {
  std::vector<StoredRow> rows;
  for (const auto& [key, row] : m_leader_rows) {
    if (row.version > version) {
      rows.push_back(row);
    }
  }
  return rows;
}

bool LeadershipView::IsNewLeaderRow(const StoredRow& row) const {
  const auto known = m_leader_rows.find(row.key);
  return known == m_leader_rows.end() || known->second.version < row.version;
}

bool LeadershipView::HasConfirmed(const InstanceId& id,
                                  uint64_t incarnation,
                                  const GroupName& group,
                                  uint64_t epoch) const {
  const auto confirmation = m_confirmations.find(id);
  if (confirmation == m_confirmations.end() ||
      confirmation->second.incarnation != incarnation) {
    return false;
  }
  const auto confirmed = confirmation->second.epochs.find(group);
  return confirmed != confirmation->second.epochs.end() &&
         confirmed->second >= epoch;
}

std::vector<InstanceId> LeadershipView::Unconfirmed(const GroupName& group,
                                                    uint64_t epoch) const {
  std::vector<InstanceId> missing;
  for (const auto& [id, member] : m_members) {
    if (!HasConfirmed(id, member.incarnation, group, epoch)) {
      missing.push_back(id);
    }
  }
  return missing;
}

const std::map<InstanceId, Vote>& LeadershipView::Votes(
    const GroupName& group) const {
  static const auto* const none = new std::map<InstanceId, Vote>();
  const auto found = m_votes.find(group);
  return found == m_votes.end() ? *none : found->second;
}

std::string LeadershipView::MemberKey(const InstanceId& id) {
  return absl::StrCat(kMemberPrefix, id);
}

std::string LeadershipView::LeaderKey(const GroupName& group) {
  return absl::StrCat(kLeaderPrefix, group);
}

std::string LeadershipView::ReplicasKey(const GroupName& group) {
  return absl::StrCat(kReplicasPrefix, group);
}

std::string LeadershipView::ConfirmationKey(const InstanceId& id) {
  return absl::StrCat(kConfirmationPrefix, id);
}

std::string LeadershipView::VoteKey(const GroupName& group,
                                    const InstanceId& id) {
  return absl::StrCat(kVotePrefix, group, "/", id);
}

std::string LeadershipView::PromotionLockKey() {
  return kPromotionLock;
}

std::string LeadershipView::EncodeMember(const MemberRow& member) {
  return json{{"incarnation", member.incarnation},
              {"peer", member.peer_address},
              {"data_centre", member.data_centre},
              {"capacity", member.capacity},
              {"joined", member.joined}}
      .dump();
}

std::string LeadershipView::EncodeLeader(const GroupLeader& leader) {
  return json{{"epoch", leader.epoch},
              {"open", leader.phase == LeaderPhase::kOpen},
              {"primary", leader.primary},
              {"claimed", leader.claimed},
              {"term", leader.term},
              {"holder", leader.holder},
              {"incarnation", leader.holder_incarnation},
              {"planned", leader.planned},
              {"orders", leader.orders.count},
              {"ordered", leader.orders.target},
              {"ordered_after", leader.orders.term_before},
              {"ordered_log_term", leader.orders.received.term},
              {"ordered_log_lsn", leader.orders.received.lsn},
              {"recorded_after", leader.orders.recorded_after}}
      .dump();
}

std::string LeadershipView::EncodeReplicas(const ReplicaSet& replicas) {
  json runs = json::array();
  for (const auto& [run, state] : replicas) {
    runs.push_back({{"target", run.id},
                    {"started", run.started_unix_ms},
                    {"address", state.address},
                    {"draining", state.draining}});
  }
  return json{{"runs", runs}}.dump();
}

std::string LeadershipView::EncodePromotionLock(const PromotionLockRow& lock) {
  return json{{"holder", lock.holder}, {"incarnation", lock.incarnation}}
      .dump();
}

std::string LeadershipView::EncodeVote(const Vote& vote) {
  return json{{"epoch", vote.epoch}, {"round", vote.round}, {"dead", vote.dead}}
      .dump();
}

std::string LeadershipView::EncodeConfirmation(
    uint64_t incarnation,
    const std::map<GroupName, uint64_t>& epochs) {
  return json{{"incarnation", incarnation}, {"epochs", epochs}}.dump();
}

std::string LeadershipView::EncodeLeaving(
    uint64_t incarnation,
    const std::map<GroupName, uint64_t>& epochs) {
  return json{{"incarnation", incarnation}, {"epochs", epochs}, {"left", true}}
      .dump();
}

}  // namespace heatherwick
