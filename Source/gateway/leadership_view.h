// What the store's rows say about each group's primary, the instances that
// use primaries, and the duty to promote.
//
// A primary is used only while the instance knows that no promotion away from
// it can have taken effect: its view is younger than kLeaderLease and its own
// member row stands in it. Whoever promotes first publishes a change of the
// group and then waits until each member has confirmed that it no longer uses
// the old primary, or until the leases of silent members have run out.

#ifndef SOURCE_GATEWAY_LEADERSHIP_VIEW_H_
#define SOURCE_GATEWAY_LEADERSHIP_VIEW_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "Source/base/types.h"
#include "Source/gateway/row_store.h"
#include "absl/time/time.h"

namespace heatherwick {

// How long after a reading of the store an instance may use a primary. Two
// polls that fail in a row fit in (see kLeadershipPollWait).
inline constexpr absl::Duration kLeaderLease = absl::Milliseconds(2000);

// How long after its last reading of the store an instance may extend its
// lease by the word of its peers. Users report outages of minutes; a holder
// that silent members may not know of waits for this time as well.
inline constexpr absl::Duration kUnanimityLimit = absl::Minutes(10);

enum class LeaderPhase { kUnknown, kOpen, kChanging };

struct GroupLeader {
  LeaderPhase phase = LeaderPhase::kUnknown;
  uint64_t epoch = 0;  // Grows with every change of this row.
  TargetId primary;    // kOpen: in use. kChanging: the one being replaced.
  uint64_t term = 0;   // In which `primary` leads; 0: not known.
  InstanceId holder;   // Instance that carries out the change.
  uint64_t holder_incarnation = 0;
  bool planned = false;  // The old primary still answers.
  uint64_t row_version = 0;
  absl::Time seen;  // When this version of the row was read.
  // kChanging: epoch of the first change since the row was open, when it was
  // read, and when the lease ends that held before. Every reading after
  // `change_seen` shows the change.
  uint64_t change_epoch = 0;
  absl::Time change_seen;
  absl::Time usable_until = absl::InfinitePast();
};

struct MemberRow {
  uint64_t incarnation = 0;
  std::string peer_address;
  uint64_t row_version = 0;
  // Version since which a row of this instance and address has stood in the
  // table without a gap.
  uint64_t joined = 0;
};

struct DutyRow {
  InstanceId holder;  // Empty: released.
  uint64_t incarnation = 0;
  uint64_t row_version = 0;  // The fencing token of its holder.
  absl::Time seen = absl::InfinitePast();
};

// A member's opinion about a primary that another one suspects.
struct Vote {
  uint64_t epoch = 0;
  uint64_t round = 0;
  bool dead = false;
};

class LeadershipView {
 public:
  LeadershipView(InstanceId self, uint64_t incarnation);

  // Returns the groups whose leader changed.
  std::set<GroupName> Apply(const RowChanges& changes, absl::Time now);

  bool OwnRowPresent() const;
  bool LeaseValid(absl::Time now) const;
  absl::Time AsOf() const { return m_as_of; }
  // Time of the newest reading that did not come from a peer's word.
  absl::Time LastReading() const { return m_last_reading; }
  // A member has confirmed these epochs to this instance directly.
  void NoteConfirmation(const InstanceId& id,
                        uint64_t incarnation,
                        const std::map<GroupName, uint64_t>& epochs);
  // Extends the lease on the word of peers.
  void ExtendLease(absl::Time as_of);

  const GroupLeader& Leader(const GroupName& group) const;
  const std::map<InstanceId, MemberRow>& Members() const { return m_members; }
  const DutyRow& Duty() const { return m_duty; }
  // Members that have not confirmed `epoch` of `group`.
  std::vector<InstanceId> Unconfirmed(const GroupName& group,
                                      uint64_t epoch) const;
  std::map<InstanceId, Vote> Votes(const GroupName& group) const;
  uint64_t Version() const { return m_version; }
  // Version of the newest leader row.
  uint64_t LeadersVersion() const { return m_leaders_version; }
  std::vector<StoredRow> LeaderRowsAfter(uint64_t version) const;

  // Keys and values of rows.
  static std::string MemberKey(const InstanceId& id);
  static std::string LeaderKey(const GroupName& group);
  static std::string ConfirmationKey(const InstanceId& id);
  static std::string VoteKey(const GroupName& group, const InstanceId& id);
  static std::string DutyKey();
  // `joined` 0 stands for the version that the row will get.
  static std::string EncodeMember(const MemberRow& member);
  static std::string EncodeLeader(const GroupLeader& leader);
  static std::string EncodeDuty(const DutyRow& duty);
  static std::string EncodeVote(const Vote& vote);
  static std::string EncodeConfirmation(
      uint64_t incarnation,
      const std::map<GroupName, uint64_t>& epochs);

 private:
  struct Confirmation {
    uint64_t incarnation = 0;
    std::map<GroupName, uint64_t> epochs;
  };

  void ApplyRow(const StoredRow& row,
                absl::Time now,
                std::set<GroupName>* changed);

  const InstanceId m_self;
  const uint64_t m_incarnation;
  uint64_t m_version = 0;
  uint64_t m_leaders_version = 0;
  absl::Time m_as_of = absl::InfinitePast();
  absl::Time m_last_reading = absl::InfinitePast();
  std::map<GroupName, GroupLeader> m_leaders;
  std::map<std::string, StoredRow> m_leader_rows;  // As they are stored.
  std::map<InstanceId, MemberRow> m_members;
  std::map<InstanceId, Confirmation> m_confirmations;
  std::map<GroupName, std::map<InstanceId, Vote>> m_votes;
  DutyRow m_duty;
};

}  // namespace heatherwick

#endif  // SOURCE_GATEWAY_LEADERSHIP_VIEW_H_
