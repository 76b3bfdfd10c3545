// Keeps the view of the leadership rows current and replaces primaries that
// are dead or leave. All calls run on the event loop's thread.

#ifndef SOURCE_GATEWAY_LEADERSHIP_MANAGER_H_
#define SOURCE_GATEWAY_LEADERSHIP_MANAGER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Source/base/types.h"
#include "Source/gateway/configuration.h"
#include "Source/gateway/event_loop.h"
#include "Source/gateway/leadership_view.h"
#include "Source/gateway/peer_leases.h"
#include "Source/gateway/row_store.h"
#include "Source/gateway/statement.h"
#include "absl/time/time.h"

namespace heatherwick {

// What the manager needs to know of groups and their targets.
class GroupAccess {
 public:
  virtual ~GroupAccess() = default;

  virtual std::vector<GroupName> Groups() const = 0;
  virtual std::vector<ListedTarget> Targets(const GroupName& group) const = 0;
  // Time of the last answer of the target; the infinite past for none.
  virtual absl::Time LastContact(const GroupName& group,
                                 const TargetId& target) const = 0;
  virtual void QueryStatus(
      const GroupName& group,
      const TargetId& target,
      absl::Duration timeout,
      std::function<void(std::optional<TargetStatus>)> done) = 0;
  // Ends all use of the group's primary; calls `done` once nothing of this
  // instance is in flight there. A planned change lets open transactions
  // finish for a while.
  virtual void Quiesce(const GroupName& group,
                       bool planned,
                       std::function<void()> done) = 0;
  virtual void OnLeaderChanged(const GroupName& group) = 0;
};

struct LeadershipSettings {
  InstanceId self;
  uint64_t incarnation = 0;  // Differs between two runs of one instance.
  std::string peer_address;
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
  // Withdraws the member row; `done` runs when the store has confirmed or
  // kStopTimeout has passed.
  void Stop(std::function<void()> done);

  // The primary that may be used now; none while a change is in progress or
  // the lease has run out.
  std::optional<TargetId> UsablePrimary(const GroupName& group) const;
  // True when no promotion away from `primary` can have taken effect yet.
  bool MayAcknowledge(const GroupName& group, const TargetId& primary) const;

  // The gateway got no answer from the primary.
  void ReportSilent(const GroupName& group);
  // The primary refused a write because it does not lead.
  void ReportNotPrimary(const GroupName& group);

  // Answers another instance's question.
  VouchAnswer Vouch(const VouchQuestion& question);

  bool LeaseValid() const { return m_view.LeaseValid(m_loop->Now()); }
  const LeadershipView& View() const { return m_view; }
  // Instances that share the targets' connections, at least 1.
  size_t MemberCount() const;

  static const char kTable[];

 private:
  struct GroupState;
  struct Promotion;

  void Poll();
  void OnPolled(Result<RowChanges> polled);
  void ApplyRows(const RowChanges& changes);
  void SchedulePoll(absl::Duration delay);
  // Writes the own member row.
  void Register();
  // True when the own row is older than those of members that this instance
  // knows by now, so that others cannot tell that it knows them.
  bool OwnRowIsOld() const;
  void Tick();
  void TickGroup(const GroupName& group);
  void ConsiderOpenLeader(const GroupName& group, const GroupLeader& leader);
  void ConsiderStuckChange(const GroupName& group, const GroupLeader& leader);
  void ProposeFirstLeader(const GroupName& group);
  void PublishFirstLeader(const GroupName& group,
                          const TargetId& primary,
                          uint64_t term);
  void AnswerVotes(const GroupName& group);
  void CastVote(const GroupName& group, bool dead, uint64_t round);
  void DecideVotes(const GroupName& group);
  void OnLeaderRow(const GroupName& group);
  void Confirm(const GroupName& group, uint64_t epoch);
  void ContinueChanges();
  void WriteConfirmation();

  bool DutyFree() const;
  bool HolderGone(const InstanceId& holder, uint64_t incarnation) const;
  absl::Duration Stagger(const GroupName& group) const;
  void StartChange(const GroupName& group, bool planned, const char* reason);
  void OnChangePublished(const GroupName& group,
                         uint64_t attempt,
                         Result<uint64_t> result);
  // Tells the members of a change that was just published, ahead of the feed.
  void Announce(const StoredRow& row);
  void AwaitConfirmations(const GroupName& group, uint64_t attempt);
  // From when on a silent member no longer renews its lease on the primary.
  absl::Time EndOfSilentUse(const GroupName& group,
                            Promotion* promotion,
                            const InstanceId& silent,
                            const std::vector<InstanceId>& missing) const;
  void CollectStatuses(const GroupName& group, uint64_t attempt);
  void ChooseCandidate(const GroupName& group, uint64_t attempt);
  void SendPromotion(const GroupName& group, uint64_t attempt);
  void AwaitPrimary(const GroupName& group, uint64_t attempt);
  void PublishLeader(const GroupName& group, uint64_t attempt);
  void RestartChange(const GroupName& group,
                     uint64_t attempt,
                     absl::Duration delay,
                     const std::string& cause);
  void EndChange(const GroupName& group);
  void After(const GroupName& group,
             uint64_t attempt,
             absl::Duration delay,
             void (LeadershipManager::*step)(const GroupName&, uint64_t));
  Promotion* Current(const GroupName& group, uint64_t attempt);
  GroupState& StateOf(const GroupName& group);

  const LeadershipSettings m_settings;
  EventLoop* const m_loop;
  RowStore* const m_store;
  PromotionApi* const m_promotions;
  GroupAccess* const m_groups;
  PeerTransport* const m_peers;  // May be null.
  LeadershipView m_view;
  PeerLeases m_peer_leases;
  std::map<GroupName, std::unique_ptr<GroupState>> m_states;
  std::map<GroupName, uint64_t> m_confirmed_epochs;
  std::unique_ptr<Timer> m_poll_timer;
  std::unique_ptr<Timer> m_tick_timer;
  std::unique_ptr<Timer> m_renewal_timer;
  std::unique_ptr<Timer> m_stop_timer;
  std::function<void()> m_on_stopped;
  bool m_table_read = false;
  bool m_store_reachable = false;
  bool m_registering = false;
  bool m_confirming = false;
  bool m_confirm_again = false;
  bool m_stopping = false;
  // The lease was last seen invalid then.
  absl::Time m_without_lease = absl::InfinitePast();
  uint64_t m_attempts = 0;
  // Newest fencing token of this run, and when it was asked for.
  uint64_t m_token = 0;
  absl::Time m_token_since = absl::InfinitePast();
  // Invalid once the manager is destroyed; callbacks of the store check it.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace heatherwick

#endif  // SOURCE_GATEWAY_LEADERSHIP_MANAGER_H_
