// Keeps this instance's view of the leadership rows current and replaces
// primaries that are dead or draining. See leadership_view.h for leases,
// changes and their holders. All calls run on the event loop's thread.

#ifndef SOURCE_GATEWAY_LEADERSHIP_MANAGER_H_
#define SOURCE_GATEWAY_LEADERSHIP_MANAGER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Source/base/types.h"
#include "Source/decision/promotion_choice.h"
#include "Source/gateway/configuration.h"
#include "Source/gateway/era_scoped_row_store.h"
#include "Source/gateway/event_loop.h"
#include "Source/gateway/first_leader.h"
#include "Source/gateway/group_access.h"
#include "Source/gateway/leadership_view.h"
#include "Source/gateway/peer_leases.h"
#include "Source/gateway/replica_recorder.h"
#include "Source/gateway/row_store.h"
#include "Source/gateway/statement.h"
#include "absl/time/time.h"

namespace heatherwick {

struct LeadershipSettings {
  InstanceId self;
  uint64_t incarnation = 0;  // Differs between two runs of the same instance.
  std::string peer_address;
  DataCentreName data_centre;
  uint32_t capacity = 0;  // See relay_plan.h.
  // How long a change of primary waits for a target that is not listed and may
  // hold acknowledged commits.
  absl::Duration log_wait_limit = absl::InfiniteDuration();
};

class LeadershipManager {
 public:
  LeadershipManager(LeadershipSettings settings,
                    EventLoop* loop,
                    RowStore* store,
                    PromotionApi* promotions,
                    GroupAccess* groups,
                    PeerTransport* peers);
  ~LeadershipManager();

  void Start();
  // Deletes this instance's member row and, if this instance holds the
  // promotion lock, releases the lock. `done` runs when the store has answered
  // or kStopTimeout has passed.
  void Stop(std::function<void()> done);

  // Returns the primary that may be used now, or nothing while a change is in
  // progress or the lease has expired.
  std::optional<TargetId> UsablePrimary(const GroupName& group) const;
  // True if no promotion away from `primary` can have taken effect yet, so that
  // writes which it has committed may be acknowledged.
  bool MayAcknowledge(const GroupName& group, const TargetId& primary) const;

  // Called when an answer of the store, or of a peer, shows that the store is
  // in a later era. All that was read before ends to be valid.
  void OnEra(uint64_t era);
  // True shortly after the lease was lost to a new era, in which the members
  // register again.
  bool LeaseReturnsSoon() const;

  // Called when the gateway got no answer from the primary.
  void ReportUnresponsivePrimary(const GroupName& group);
  // Called when the primary refused a write because it is not the primary.
  void ReportDemotedPrimary(const GroupName& group);

  // Answers another instance's query.
  VouchResponse Vouch(const VouchQuery& query);

  bool LeaseValid() const { return m_view.LeaseValid(m_loop->Now()); }
  const LeadershipView& View() const { return m_view; }
  const InstanceId& Self() const { return m_settings.self; }
  // The instances that share the targets' connections and the quotas: the
  // members and, shortly after a new era began, those of the era before that
  // have not registered again yet. Otherwise the first to register would take
  // the shares of all.
  std::map<InstanceId, MemberRow> SharingMembers() const;
  // Null if the instance is none of SharingMembers().
  const MemberRow* SharingMember(const InstanceId& id) const;
  // Changes whenever SharingMembers() changes.
  uint64_t SharingRevision() const;
  // Number of SharingMembers(); at least 1.
  size_t MemberCount() const;
  // Promotions of this run: orders sent, orders whose outcome the platform did
  // not report, and promotions that were seen to take effect.
  uint64_t PromotionsSent() const { return m_promotions_sent; }
  uint64_t PromotionsUnanswered() const { return m_promotions_unanswered; }
  uint64_t PromotionsSeen() const { return m_promotions_seen; }
  // Eras of the store that began after this instance had read another one.
  uint64_t ErasBegun() const { return m_eras_begun; }
  // Leases of this run that ended before this instance left, and extensions of
  // leases because no member could read the store.
  uint64_t LeasesLost() const { return m_leases_lost; }
  uint64_t LeasesExtendedByUnanimity() const {
    return m_peer_leases.UnanimousRounds();
  }
  // How often a choice waited until earlier orders had ended.
  uint64_t PromotionsWithheld() const { return m_promotions_withheld; }

  static const char kTable[];

 private:
  struct GroupState;
  struct PrimaryChange;
  // A member and its incarnation.
  using MemberRun = std::pair<InstanceId, uint64_t>;

  void Poll();
  void OnPolled(Result<RowChanges> polled);
  void ApplyRows(const RowChanges& changes);
  void SchedulePoll(absl::Duration delay);
  // Writes this instance's member row.
  void WriteMemberRow();
  // True if too few other member rows are older than this instance's own row,
  // so that it must be written again. Other instances take this instance to
  // know only the members whose rows are older than its own.
  bool OwnRowNeedsRewrite() const;
  // A peer has read a later era. Ends the present one, too, until a later
  // reading shows that the store has not reached the peer's.
  void OnEraOfPeer(uint64_t era);
  void BeginEra(uint64_t era);
  // True while members of the era before may not have registered again.
  bool MembersRegisterAgain() const;
  // Deletes rows of earlier eras once nothing needs them any more.
  void DeleteEarlierRows();
  void Tick();
  // Logs when the lease is lost and when this instance has one again.
  void LogLease(bool valid);
  // Proposes leaders for groups that have none.
  void ProposeLeaders();
  void CheckGroup(const GroupName& group);
  void CheckOpenLeader(const GroupName& group, const GroupLeader& leader);
  void CheckStuckChange(const GroupName& group, const GroupLeader& leader);
  // The members that vote on the group's primary, in the order in which they
  // start a change.
  const std::vector<InstanceId>& Voters(const GroupName& group);
  bool IsVoter(const GroupName& group);
  // True if this instance should cast a vote on a primary that does not answer
  // it.
  bool ShouldReportPrimary(const GroupName& group,
                           const GroupLeader& leader,
                           absl::Time unresponsive_since);
  void AnswerVoteRequests(const GroupName& group);
  void CastVote(const GroupName& group, bool dead, uint64_t round);
  void CountVotes(const GroupName& group);
  void OnLeaderRow(const GroupName& group);
  void Confirm(const GroupName& group, uint64_t epoch);
  void ContinueChanges();
  void WriteConfirmation();

  bool CanTakePromotionLock() const;
  bool HolderGone(const InstanceId& holder, uint64_t incarnation) const;
  absl::Duration Stagger(const GroupName& group);
  void StartChange(const GroupName& group, bool planned, const char* reason);
  // Starts a change from a leader row that need not be the one in the view.
  void StartChangeFrom(const GroupName& group,
                       const GroupLeader& leader,
                       const PendingOrders& orders,
                       absl::Time orders_end,
                       bool planned,
                       const char* reason);
  void OnChangePublished(const GroupName& group,
                         uint64_t attempt,
                         Result<uint64_t> result);
  // Sends a change that was just published to all members, so that they need
  // not wait for their next poll of the store.
  void Announce(const StoredRow& row);
  void AwaitConfirmations(const GroupName& group, uint64_t attempt);
  // Returns the time after which an unresponsive member can no longer renew its
  // lease. `missing` lists all members that have not confirmed the change.
  // `known_to_it` tells whether the unresponsive member knows the given one.
  // Adds the member whose confirmation this rests on to the change's witnesses.
  absl::Time EndOfLeaseRenewals(
      const GroupName& group,
      PrimaryChange* change,
      const InstanceId& unresponsive,
      const std::vector<InstanceId>& missing,
      const std::function<bool(const InstanceId&, const MemberRow&)>&
          known_to_it) const;
  // Asks the change's witnesses whether they still run, and then continues. A
  // member that has started again does not know what it has confirmed, and may
  // agree that an unresponsive member extends its lease.
  void VerifyWitnesses(const GroupName& group, uint64_t attempt);
  // Continues with all witnesses after some could not be verified.
  void RetryWitnesses(const GroupName& group, uint64_t attempt);
  // Returns the time at which the leases of members without rows have expired.
  absl::Time EndOfDepartedLeases(const GroupName& group,
                                 PrimaryChange* change,
                                 const std::vector<InstanceId>& missing) const;
  void CollectStatuses(const GroupName& group, uint64_t attempt);
  // Discards what targets stated that have started again since they were asked,
  // without the logs that they had then.
  void DiscardOutdatedStatuses(const GroupName& group,
                               PrimaryChange* change) const;
  // The targets whose statuses the change needs.
  std::vector<TargetId> TargetsToQuery(const GroupName& group,
                                       const PrimaryChange& change) const;
  void ChooseCandidate(const GroupName& group, uint64_t attempt);
  PromotionChoice ChooseFromStatuses(const GroupName& group,
                                     PrimaryChange* change);
  // What the status of a target shows of its log.
  ReplicaLog LogOf(const GroupName& group,
                   const PrimaryChange& change,
                   const TargetId& target,
                   const TargetStatus& status) const;
  // The targets of which a log that may have acknowledged commits is not known,
  // with the name for log lines. Former runs of a target count once: they never
  // held logs at the same time.
  std::map<TargetId, std::string> UnknownLogs(const GroupName& group,
                                              const PrimaryChange& change);
  // The target that leads in the newest term, if that is certain. Its log has
  // every acknowledged commit.
  std::optional<TargetId> FindLeadingLog(const GroupName& group,
                                         const PrimaryChange& change);
  // True if a former run of the target may have held commits that it lacks.
  bool HasLostLog(const GroupName& group, const TargetId& target) const;
  // True if the target's claim to lead is that of an empty log. A target that
  // has started again knows no term, and leads in a later one than the first
  // only if it was promoted since then.
  bool ClaimsWithoutLog(const GroupName& group,
                        const TargetId& target,
                        const TargetStatus& status) const;
  // The logs that a choice rests on, as fields of a log line; empty without
  // synchronous replicas.
  std::string DescribeLogs(const GroupName& group,
                           const PromotionChoice& choice);
  // Ends the change with the old primary still in use.
  void KeepPrimary(const GroupName& group, uint64_t attempt);
  // Queries the targets again later, because none can be promoted safely.
  void AwaitCandidate(const GroupName& group,
                      uint64_t attempt,
                      const PromotionChoice& choice);
  // The status that the change has last collected, or null.
  static const TargetStatus* StatusOf(const PrimaryChange& change,
                                      const TargetId& target);
  // The highest term in the collected statuses.
  static uint64_t HighestTerm(const PrimaryChange& change);
  // The target that leads the group, if the statuses and the recorded orders
  // prove it.
  std::optional<TargetId> FindLeadingTarget(const GroupName& group,
                                            const PrimaryChange& change) const;
  // Queries the targets again later, because the orders of another target may
  // still take effect.
  void AwaitOrders(const GroupName& group, uint64_t attempt);
  // True if the target of the pending orders may be ordered once more.
  static bool MayOrderAgain(const PrimaryChange& change);
  // Records an order for `target`, whose status is given, and sends it.
  void Promote(const GroupName& group,
               uint64_t attempt,
               const TargetId& target,
               const TargetStatus& status);
  // False, and restarts the change, if the promotion lock may be lost.
  bool MayPromote(const GroupName& group, uint64_t attempt);
  void RecordOrder(const GroupName& group, uint64_t attempt);
  // Sends the order that `record`, the leader row as stored, shows.
  void OnOrderRecorded(const GroupName& group,
                       uint64_t attempt,
                       const StoredRow& record,
                       const PendingOrders& orders,
                       absl::Time recorded_at);
  void SendPromotion(const GroupName& group,
                     uint64_t attempt,
                     const PendingOrders& orders);
  // True if the status shows that the promotion has taken effect.
  bool LeadsAfterPromotion(const PrimaryChange& change,
                           const TargetStatus& status,
                           absl::Time queried_at) const;
  void AwaitPrimary(const GroupName& group, uint64_t attempt);
  // Publishes the candidate, or orders it once more if its order changed
  // nothing.
  void OnCandidateLeads(const GroupName& group,
                        uint64_t attempt,
                        const TargetStatus& status);
  void PublishLeader(const GroupName& group, uint64_t attempt);
  void RestartChange(const GroupName& group,
                     uint64_t attempt,
                     absl::Duration delay,
                     const std::string& cause);
  void EndChange(const GroupName& group);
  void RunStepAfter(const GroupName& group,
                    uint64_t attempt,
                    absl::Duration delay,
                    void (LeadershipManager::*step)(const GroupName&,
                                                    uint64_t));
  PrimaryChange* FindChange(const GroupName& group, uint64_t attempt);
  GroupState& StateOf(const GroupName& group);

  const LeadershipSettings m_settings;
  EventLoop* const m_loop;
  EraScopedRowStore m_store;
  PromotionApi* const m_promotions;
  GroupAccess* const m_groups;
  PeerTransport* const m_peers;  // May be null.
  LeadershipView m_view;
  PeerLeases m_peer_leases;
  FirstLeader m_first_leader;
  ReplicaRecorder m_replica_recorder;
  std::map<GroupName, std::unique_ptr<GroupState>> m_states;
  std::map<GroupName, uint64_t> m_confirmed_epochs;
  std::unique_ptr<Timer> m_poll_timer;
  std::unique_ptr<Timer> m_tick_timer;
  std::unique_ptr<Timer> m_member_row_timer;
  std::unique_ptr<Timer> m_stop_timer;
  std::function<void()> m_on_stopped;
  bool m_table_loaded = false;
  bool m_store_reachable = false;
  bool m_writing_member_row = false;
  // Failed writes of the member row in a row, and when the next may start.
  int m_member_row_failures = 0;
  absl::Time m_member_row_retry_at = absl::InfinitePast();
  bool m_writing_confirmation = false;
  bool m_write_confirmation_again = false;
  bool m_stopping = false;
  // The lease was valid at the latest Tick().
  bool m_had_lease = false;
  uint64_t m_leases_lost = 0;
  // When it was lost; infinite past before that.
  absl::Time m_lease_lost_at = absl::InfinitePast();
  // When Tick() last found the lease invalid.
  absl::Time m_last_without_lease = absl::InfinitePast();
  uint64_t m_eras_begun = 0;
  absl::Time m_era_begun_at = absl::InfinitePast();
  // When a peer named the present era; infinite future once it was read.
  absl::Time m_era_named_at = absl::InfiniteFuture();
  // SharingMembers() when the present era began.
  std::map<InstanceId, MemberRow> m_earlier_sharing_members;
  bool m_deleting_earlier_rows = false;
  uint64_t m_attempts = 0;
  uint64_t m_promotions_sent = 0;
  uint64_t m_promotions_unanswered = 0;
  uint64_t m_promotions_seen = 0;
  uint64_t m_promotions_withheld = 0;
  // Newest fencing token of this run, and when it was requested.
  uint64_t m_token = 0;
  absl::Time m_token_requested_at = absl::InfinitePast();
  // False once the manager is destroyed; asynchronous callbacks check it.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace heatherwick

#endif  // SOURCE_GATEWAY_LEADERSHIP_MANAGER_H_
