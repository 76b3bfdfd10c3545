// An instance's view of the leadership rows in the platform's store: the
// primary of each group, the member instances that use primaries, and the
// promotion lock, whose holder may order promotions.
//
// An instance uses a primary only while it holds a lease, which guarantees that
// no promotion away from that primary can have taken effect. The lease is valid
// while the instance's view is younger than kLeaderLease and contains the
// instance's own member row. Replacing a primary is called a change, and the
// instance that carries it out is the change's holder. The holder first
// publishes the change in the group's leader row. It then waits until each
// member has confirmed that it no longer uses the old primary, or until the
// leases of unresponsive members have expired.

#ifndef SOURCE_GATEWAY_LEADERSHIP_VIEW_H_
#define SOURCE_GATEWAY_LEADERSHIP_VIEW_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Source/base/error.h"
#include "Source/base/json_reader.h"
#include "Source/base/rejected_entries.h"
#include "Source/base/types.h"
#include "Source/decision/replica_set.h"
#include "Source/gateway/row_store.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace heatherwick {

// How long after a read of the store an instance may use a primary. The lease
// survives two failed polls in a row (see kLeadershipPollWait).
inline constexpr absl::Duration kLeaderLease = absl::Milliseconds(2000);

// How long after its last read of the store an instance may extend its lease
// because all members agree (see peer_leases.h). Users report store outages of
// minutes. A holder also waits this long for an unresponsive member that may
// know neither the holder nor any member that has confirmed the change, because
// such a member could extend its lease until then.
inline constexpr absl::Duration kUnanimityLimit = absl::Minutes(10);

enum class LeaderPhase { kUnknown, kOpen, kChanging };

// What the current lease is based on.
enum class LeaseSource {
  kNone,
  kStore,      // A reading of the store, also if other instances passed it on.
  kPeer,       // A reading that a peer reported.
  kUnanimity,  // No member can read the store.
};

absl::string_view LeaseSourceName(LeaseSource source);

// Orders of promotions that may not have taken effect yet. The platform neither
// shows nor takes back an order, and performs it after a delay, whatever has
// become of the instance that sent it. Each order is therefore recorded in the
// group's leader row before it is sent, and another target is only ordered once
// these orders have ended, so that all of them name the same target.
struct PendingOrders {
  TargetId target;  // Empty if rows of an earlier version do not show it.
  uint64_t count = 0;
  // The highest term known when the newest order was recorded. If `target`
  // leads in a higher one, no other order has taken effect after its own.
  uint64_t term_before = 0;
  // Version of the leader row that the record of the newest order replaced;
  // differs for each order.
  uint64_t recorded_after = 0;
  // End of the target's log at that time. If its log is shorter later, the
  // target has lost it in a restart.
  Position received = {};
};

struct GroupLeader {
  LeaderPhase phase = LeaderPhase::kUnknown;
  uint64_t epoch = 0;  // Incremented with every update of this row.
  TargetId primary;    // kOpen: in use. kChanging: the one being replaced.
  // The row of the change replaces one that the store has lost, so that another
  // target may have led after `primary`.
  bool claimed = false;
  uint64_t term = 0;  // Term in which `primary` leads; 0 if unknown.
  InstanceId holder;  // Instance that carries out the change.
  uint64_t holder_incarnation = 0;
  bool planned = false;  // True if the old primary still answers.
  uint64_t row_version = 0;
  absl::Time seen;  // When this version of the row was first read.
  // Set while kChanging. `change_epoch` is the epoch of the first change since
  // the row was open, and `change_seen` is when that change was read; every
  // later read of the store includes it. `usable_until` is the end of the lease
  // that was valid before the change was read.
  uint64_t change_epoch = 0;
  absl::Time change_seen;
  absl::Time usable_until = absl::InfinitePast();
  // While kOpen, these can only name `primary`, as repeated orders for it.
  PendingOrders orders;
  absl::Time orders_seen;  // When the newest of `orders` was first read.
};

struct MemberRow {
  uint64_t incarnation = 0;
  std::string peer_address;
  uint64_t row_version = 0;
  // Version since which the table has always contained a row with this instance
  // and address.
  uint64_t joined = 0;
  DataCentreName data_centre = {};  // Empty in rows of the first version.
  uint32_t capacity = 0;            // See relay_plan.h.
};

// A member whose row was removed by the holder of a change. It may not know,
// and may use primaries until its lease expires.
struct DepartedMember {
  MemberRow row;
  absl::Time seen;  // When the removal was read.
  // If `row` is of an earlier era: the members of that era, as they were read
  // together with it. Null otherwise.
  std::shared_ptr<const std::map<InstanceId, MemberRow>> era_members = nullptr;
};

// The lock on promotions; its row key is "duty".
struct PromotionLockRow {
  InstanceId holder;  // Empty if the lock is free.
  uint64_t incarnation = 0;
  uint64_t row_version = 0;  // The fencing token of its holder.
  absl::Time seen = absl::InfinitePast();
};

// What is known of a group's leader row of an earlier era of the store.
struct EarlierLeader {
  GroupLeader leader;
  // End of the lease by which this instance could use the primary when it first
  // learned of a later era.
  absl::Time lease_end = absl::InfinitePast();
  // That lease was still valid when this instance learned of the present era. A
  // promotion away from the primary would have waited for it, so that none can
  // have been ordered.
  bool proven = false;
};

// The targets that may hold acknowledged commits of a group, as recorded in the
// store; see replica_recorder.h.
struct RecordedReplicas {
  ReplicaSet replicas;
  uint64_t row_version = 0;
  // False if the row could not be read, so that `replicas` may lack some.
  bool complete = true;
};

// A member's vote on whether a group's primary is dead.
struct Vote {
  uint64_t epoch = 0;  // Epoch of the group's leader row.
  uint64_t round = 0;
  bool dead = false;
};

class LeadershipView {
 public:
  LeadershipView(InstanceId self, uint64_t incarnation);

  // Returns the groups whose leader row changed. Changes of another era are not
  // applied; a later era has to be begun first.
  std::set<GroupName> Apply(const RowChanges& changes, absl::Time now);

  // The era of the store to which everything here belongs, except what
  // Earlier() returns.
  uint64_t Era() const { return m_era; }
  // Ends the lease and all use of what was read in the present era, which is
  // lower than `era`.
  void BeginEra(uint64_t era, absl::Time now);
  // When the table was first read in the present era.
  absl::Time EraReadAt() const { return m_era_read_at; }
  // Null if no earlier leader of the group is known.
  const EarlierLeader* Earlier(const GroupName& group) const;
  // The newest record of an earlier era; null if none is known.
  const RecordedReplicas* EarlierReplicas(const GroupName& group) const;
  // The rows of earlier eras that are still stored, by key and era.
  const std::set<std::pair<std::string, uint64_t>>& EarlierRows() const {
    return m_earlier_rows;
  }

  bool OwnRowPresent() const;
  bool LeaseValid(absl::Time now) const;
  // Time at which the view is known to have been current; the lease counts from
  // then.
  absl::Time AsOf() const { return m_as_of; }
  LeaseSource Source() const { return m_lease_source; }
  // Time of the newest read of the store, excluding what peers reported.
  absl::Time LastStoreRead() const { return m_last_store_read; }
  // Records epochs that a member has confirmed to this instance directly.
  void RecordConfirmation(const InstanceId& id,
                          uint64_t incarnation,
                          const std::map<GroupName, uint64_t>& epochs);
  // Extends the lease as if the store had been read at `as_of`.
  void ExtendLease(absl::Time as_of);
  // Ends the lease for good, because this instance is about to leave.
  void RenounceLease() { m_lease_renounced = true; }

  const GroupLeader& Leader(const GroupName& group) const;
  // Null if the group has no record in the present era.
  const RecordedReplicas* Replicas(const GroupName& group) const;
  const std::map<InstanceId, MemberRow>& Members() const { return m_members; }
  // Does not include members that left by themselves, as they end their leases
  // first.
  const std::map<InstanceId, DepartedMember>& Departed() const {
    return m_departed;
  }
  // When the whole table was last read. Members whose rows were removed before
  // are unknown.
  absl::Time TableReadAt() const { return m_table_read_at; }
  // Changes whenever Members() changes.
  uint64_t MembersRevision() const { return m_members_revision; }
  const PromotionLockRow& PromotionLock() const { return m_promotion_lock; }
  // True if this run of the instance has confirmed `epoch` of `group`.
  bool HasConfirmed(const InstanceId& id,
                    uint64_t incarnation,
                    const GroupName& group,
                    uint64_t epoch) const;
  // Members that have not confirmed `epoch` of `group`.
  std::vector<InstanceId> Unconfirmed(const GroupName& group,
                                      uint64_t epoch) const;
  const std::map<InstanceId, Vote>& Votes(const GroupName& group) const;
  uint64_t Version() const { return m_version; }
  // Version of the newest leader row. Rows that peers announce may leave out
  // older ones; all rows up to Version() are known.
  uint64_t LeadersVersion() const { return m_leaders_version; }
  // True if the members are known as of the newest leader row. The rows of
  // members are removed together with an update of a leader row.
  bool MembersCurrent() const { return m_leaders_version <= m_version; }
  // True if `row` is a leader row newer than the one that is known.
  bool IsNewLeaderRow(const StoredRow& row) const;
  std::vector<StoredRow> LeaderRowsAfter(uint64_t version) const;

  // Keys and values of rows.
  static std::string MemberKey(const InstanceId& id);
  static std::string LeaderKey(const GroupName& group);
  static std::string ReplicasKey(const GroupName& group);
  static std::string ConfirmationKey(const InstanceId& id);
  static std::string VoteKey(const GroupName& group, const InstanceId& id);
  static std::string PromotionLockKey();
  // A `joined` of 0 stands for the version that the row will be given.
  static std::string EncodeMember(const MemberRow& member);
  static std::string EncodeLeader(const GroupLeader& leader);
  static std::string EncodeReplicas(const ReplicaSet& replicas);
  static std::string EncodePromotionLock(const PromotionLockRow& lock);
  static std::string EncodeVote(const Vote& vote);
  static std::string EncodeConfirmation(
      uint64_t incarnation,
      const std::map<GroupName, uint64_t>& epochs);
  // Written by a member that removes its own row.
  static std::string EncodeLeaving(uint64_t incarnation,
                                   const std::map<GroupName, uint64_t>& epochs);

 private:
  struct Confirmation {
    uint64_t incarnation = 0;
    std::map<GroupName, uint64_t> epochs;
    bool left = false;  // The member has ended its lease and left.
  };

  // Records that a member's row is no longer in the table.
  void RemoveMember(const InstanceId& id, const MemberRow& row, absl::Time now);

  // Rows of earlier eras are claims and no decisions.
  void ApplyEarlierRows(const std::vector<StoredRow>& rows, absl::Time now);

  // Each returns an error, and changes nothing, if the row is not valid.
  Status ApplyRow(const StoredRow& row,
                  absl::Time now,
                  std::set<GroupName>* changed);
  static Result<MemberRow> ParseMember(const StoredRow& row,
                                       JsonReader* reader);
  Status ApplyMember(const InstanceId& id,
                     const StoredRow& row,
                     JsonReader* reader,
                     absl::Time now);
  Status ApplyConfirmation(const InstanceId& id,
                           const StoredRow& row,
                           JsonReader* reader);
  Status ApplyVote(const std::string& key,
                   const StoredRow& row,
                   JsonReader* reader);
  // Reads a leader row's value, without what depends on when it was read.
  static Result<GroupLeader> ParseLeader(const StoredRow& row,
                                         JsonReader* reader);
  Status ApplyLeader(const GroupName& group,
                     const StoredRow& row,
                     JsonReader* reader,
                     absl::Time now,
                     std::set<GroupName>* changed);
  static Result<ReplicaSet> ParseReplicas(const StoredRow& row);
  Status ApplyReplicas(const GroupName& group, const StoredRow& row);
  Status ApplyPromotionLock(const StoredRow& row,
                            JsonReader* reader,
                            absl::Time now);

  const InstanceId m_self;
  const uint64_t m_incarnation;
  uint64_t m_era = 0;
  absl::Time m_era_read_at = absl::InfinitePast();
  std::map<GroupName, EarlierLeader> m_earlier_leaders;
  std::map<GroupName, RecordedReplicas> m_earlier_replicas;
  std::set<std::pair<std::string, uint64_t>> m_earlier_rows;
  uint64_t m_version = 0;
  uint64_t m_leaders_version = 0;
  absl::Time m_as_of = absl::InfinitePast();
  LeaseSource m_lease_source = LeaseSource::kNone;
  absl::Time m_last_store_read = absl::InfinitePast();
  std::map<GroupName, GroupLeader> m_leaders;
  std::map<std::string, StoredRow> m_leader_rows;  // As stored, by row key.
  std::map<GroupName, RecordedReplicas> m_replicas;
  std::map<InstanceId, MemberRow> m_members;
  std::map<InstanceId, DepartedMember> m_departed;
  absl::Time m_table_read_at = absl::InfinitePast();
  bool m_lease_renounced = false;
  uint64_t m_members_revision = 0;
  std::map<InstanceId, Confirmation> m_confirmations;
  std::map<GroupName, std::map<InstanceId, Vote>> m_votes;
  PromotionLockRow m_promotion_lock;
  RejectedEntries m_rejected_rows{"leadership"};
};

}  // namespace heatherwick

#endif  // SOURCE_GATEWAY_LEADERSHIP_VIEW_H_
