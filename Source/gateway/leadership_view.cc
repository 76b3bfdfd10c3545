// Decodes leadership rows. A row that cannot be decoded is logged and skipped;
// the other rows are applied.

#include "Source/gateway/leadership_view.h"

#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"
#include "glog/logging.h"
#include "nlohmann/json.hpp"

namespace heatherwick {
namespace {

using nlohmann::json;

constexpr char kMemberPrefix[] = "member/";
constexpr char kLeaderPrefix[] = "leader/";
constexpr char kConfirmationPrefix[] = "confirmed/";
constexpr char kVotePrefix[] = "vote/";
constexpr char kPromotionLock[] = "duty";

}  // namespace

LeadershipView::LeadershipView(InstanceId self, uint64_t incarnation)
    : m_self(std::move(self)), m_incarnation(incarnation) {}

std::set<GroupName> LeadershipView::Apply(const RowChanges& changes,
                                          absl::Time now) {
  std::set<GroupName> changed;
  if (changes.snapshot) {
    m_members.clear();
    ++m_members_revision;
    m_confirmations.clear();
    m_votes.clear();
    m_promotion_lock.holder.clear();
  }
  for (const StoredRow& row : changes.rows) {
    try {
      ApplyRow(row, now, &changed);
    } catch (const json::exception& error) {
      LOG(WARNING) << "event=row_skipped table=leadership key=" << row.key
                   << " cause=\"" << error.what() << "\"";
    }
  }
  if (changes.version > 0) {
    m_version = std::max(m_version, changes.version);
    m_last_store_read = std::max(m_last_store_read, changes.as_of);
  }
  m_as_of = std::max(m_as_of, changes.as_of);
  return changed;
}

void LeadershipView::ApplyRow(const StoredRow& row,
                              absl::Time now,
                              std::set<GroupName>* changed) {
  absl::string_view key = row.key;
  const json value = row.deleted ? json::object() : json::parse(row.value);
  if (absl::ConsumePrefix(&key, kMemberPrefix)) {
    if (row.deleted) {
      m_members.erase(std::string(key));
      ++m_members_revision;
    } else {
      MemberRow member;
      member.incarnation = value.at("incarnation").get<uint64_t>();
      member.peer_address = value.at("peer").get<std::string>();
      member.data_centre = value.value("data_centre", "");
      member.capacity = value.value("capacity", uint32_t{0});
      member.row_version = row.version;
      const uint64_t joined = value.value("joined", uint64_t{0});
      member.joined = joined > 0 ? joined : row.version;
      m_members[std::string(key)] = std::move(member);
      ++m_members_revision;
    }
  } else if (absl::ConsumePrefix(&key, kConfirmationPrefix)) {
    if (!row.deleted) {
      m_confirmations[std::string(key)] = {
          value.at("incarnation").get<uint64_t>(),
          value.at("epochs").get<std::map<GroupName, uint64_t>>()};
    }
  } else if (absl::ConsumePrefix(&key, kVotePrefix)) {
    const std::vector<std::string> parts = absl::StrSplit(key, '/');
    if (parts.size() == 2 && !row.deleted) {
      m_votes[parts[0]][parts[1]] = {value.at("epoch").get<uint64_t>(),
                                     value.at("round").get<uint64_t>(),
                                     value.at("dead").get<bool>()};
    }
  } else if (absl::ConsumePrefix(&key, kLeaderPrefix)) {
    GroupLeader& leader = m_leaders[std::string(key)];
    if (row.deleted || row.version <= leader.row_version) {
      return;
    }
    GroupLeader next;
    next.epoch = value.at("epoch").get<uint64_t>();
    next.phase = value.at("open").get<bool>() ? LeaderPhase::kOpen
                                              : LeaderPhase::kChanging;
    next.primary = value.at("primary").get<std::string>();
    next.term = value.value("term", uint64_t{0});
    next.holder = value.at("holder").get<std::string>();
    next.holder_incarnation = value.at("incarnation").get<uint64_t>();
    next.planned = value.at("planned").get<bool>();
    next.row_version = row.version;
    next.seen = now;
    if (next.phase == LeaderPhase::kChanging) {
      const bool again = leader.phase == LeaderPhase::kChanging;
      next.change_epoch = again ? leader.change_epoch : next.epoch;
      next.change_seen = again ? leader.change_seen : now;
      next.usable_until = again ? leader.usable_until : m_as_of + kLeaderLease;
    }
    leader = next;
    m_leader_rows[row.key] = row;
    m_leaders_version = std::max(m_leaders_version, row.version);
    changed->insert(std::string(key));
  } else if (key == kPromotionLock && !row.deleted &&
             row.version >= m_promotion_lock.row_version) {
    const bool same = row.version == m_promotion_lock.row_version;
    m_promotion_lock = {value.at("holder").get<std::string>(),
                        value.at("incarnation").get<uint64_t>(), row.version,
                        same ? m_promotion_lock.seen : now};
  }
}

bool LeadershipView::OwnRowPresent() const {
  const auto own = m_members.find(m_self);
  return own != m_members.end() && own->second.incarnation == m_incarnation;
}

bool LeadershipView::LeaseValid(absl::Time now) const {
  return now < m_as_of + kLeaderLease && OwnRowPresent();
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
  m_as_of = std::max(m_as_of, as_of);
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

std::vector<InstanceId> LeadershipView::Unconfirmed(const GroupName& group,
                                                    uint64_t epoch) const {
  std::vector<InstanceId> missing;
  for (const auto& [id, member] : m_members) {
    const auto confirmed = m_confirmations.find(id);
    if (confirmed != m_confirmations.end() &&
        confirmed->second.incarnation == member.incarnation) {
      const auto at = confirmed->second.epochs.find(group);
      if (at != confirmed->second.epochs.end() && at->second >= epoch) {
        continue;
      }
    }
    missing.push_back(id);
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
  return json{
      {"epoch", leader.epoch},     {"open", leader.phase == LeaderPhase::kOpen},
      {"primary", leader.primary}, {"term", leader.term},
      {"holder", leader.holder},   {"incarnation", leader.holder_incarnation},
      {"planned", leader.planned}}
      .dump();
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

}  // namespace heatherwick
