// Which instances are alive, as this instance sees it: probes, suspicion and
// dissemination of member states in the probes' messages.
//
// Each instance probes one random peer of its region each second. A peer that
// does not answer is probed through three others before it is suspected, and
// a suspect that does not refute the suspicion in time is dead. Members of
// other regions are judged by their own region; their states arrive through
// occasional probes across regions. See docs/design.md, section 2.7.

#ifndef SOURCE_DECISION_MEMBERSHIP_H_
#define SOURCE_DECISION_MEMBERSHIP_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "Source/base/types.h"
#include "Source/decision/member_record.h"
#include "Source/decision/update_queue.h"
#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"
#include "absl/random/bit_gen_ref.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace heatherwick {

using ProbeId = uint64_t;

// Send a probe. The owner reports its end with exactly one call of
// OnProbeReply or OnProbeFailed, within MembershipOptions::probe_deadline.
struct SendProbe {
  ProbeId probe = 0;
  InstanceId to;
  std::string address;
  std::string relay_to;  // Address to probe on our behalf, or empty.
  bool want_all = false;
  std::vector<MemberRecord> updates;
};

// A member is new or has changed.
struct MemberChanged {
  MemberRecord member;
  MemberState before = MemberState::kCandidate;
  absl::string_view reason;
};

// This process was outranked by an earlier incarnation of its own name, as
// after a clock was set back, and uses a higher one from now on.
struct IncarnationRaised {
  std::string incarnation;
};

using MembershipAction =
    std::variant<SendProbe, MemberChanged, IncarnationRaised>;

struct MembershipOptions {
  absl::Duration probe_period = absl::Seconds(1);
  // Probe period while more updates wait than one message holds, as after the
  // loss of a data centre. A third of a second keeps the messages of a node
  // under 12 kB a second.
  absl::Duration backlog_period = absl::Milliseconds(333);
  // After this time without a reply the indirect probes start.
  absl::Duration probe_timeout = absl::Milliseconds(300);
  // Time for the indirect probes; a late reply counts until it ends.
  absl::Duration indirect_timeout = absl::Milliseconds(700);
  // Time after which the owner gives a probe up.
  absl::Duration probe_deadline = absl::Seconds(1);
  absl::Duration suspicion_timeout = absl::Seconds(3);
  size_t indirect_probes = 3;
  size_t max_updates = 8;
  // Slots of a message without news that repeat known states, so that a view
  // that missed an update is corrected.
  size_t refresh_updates = 2;
  // Failed rounds after which a member is suspected although no relay
  // answered; fewer would let a node that is cut off suspect everyone.
  size_t rounds_without_evidence = 3;
  size_t candidate_probes_per_period = 8;
  absl::Duration candidate_retry = absl::Seconds(10);
  // Probes of a dead member, which end a partition after it has healed.
  absl::Duration reconnect_period = absl::Seconds(10);
  absl::Duration tombstone_retention = absl::Hours(1);
  absl::Duration cross_region_period = absl::Seconds(10);
  // Periods at start in which one probe asks for all members.
  size_t join_periods = 3;
};

class Membership {
 public:
  // `random` must outlive the object. `self.state` is ignored.
  Membership(MemberRecord self,
             MembershipOptions options,
             absl::BitGenRef random,
             absl::Time now);

  // Call at least every 100 ms.
  void OnTick(absl::Time now, std::vector<MembershipAction>* actions);

  // Another member's probe arrived. The reply carries ReplyUpdates.
  void OnProbe(const MemberRecord& sender,
               const std::vector<MemberRecord>& updates,
               absl::Time now,
               std::vector<MembershipAction>* actions);
  std::vector<MemberRecord> ReplyUpdates(const MemberRecord& sender,
                                         bool want_all);

  // `alive` tells, for a probe with relay_to, whether that one answered.
  void OnProbeReply(ProbeId probe,
                    bool alive,
                    const MemberRecord& responder,
                    const std::vector<MemberRecord>& updates,
                    absl::Time now,
                    std::vector<MembershipAction>* actions);
  void OnProbeFailed(ProbeId probe,
                     absl::Time now,
                     std::vector<MembershipAction>* actions);

  // The platform's list: adds unknown instances as candidates and forgets
  // candidates that it no longer names. It never removes a member.
  void OnList(const std::vector<MemberRecord>& listed,
              absl::Time now,
              std::vector<MembershipAction>* actions);

  // Addresses to probe while no peer is known, for a start without the list.
  void SetSeeds(std::vector<std::string> addresses) {
    m_seeds = std::move(addresses);
  }

  // A call of the request path to the member failed: probes it at once.
  void OnUnreachable(const InstanceId& id,
                     absl::Time now,
                     std::vector<MembershipAction>* actions);

  // Announces that this instance is leaving, to `fanout` peers at once.
  void Leave(size_t fanout,
             absl::Time now,
             std::vector<MembershipAction>* actions);

  const MemberRecord& Self() const { return m_self; }
  // Grows when the set of members that may serve changes.
  uint64_t Version() const { return m_version; }
  // Members that may serve groups, this one included unless it is leaving;
  // in the order of their names.
  std::vector<MemberRecord> Serving() const;
  // Null when the member is unknown. Valid until the next call.
  const MemberRecord* Find(const InstanceId& id) const;
  // Every member and candidate, without tombstones older than the retention.
  std::vector<MemberRecord> All() const;
  // No candidate of the own region waits for its first probe.
  bool Joined() const { return m_untried_candidates.empty(); }

 private:
  struct Entry {
    MemberRecord record;
    absl::Time since = absl::InfinitePast();     // Of the present state.
    absl::Time retry_at = absl::InfinitePast();  // For candidates.
    size_t failed_rounds = 0;
  };
  // The check of one member: a direct probe, then indirect ones.
  struct Round {
    bool indirect = false;
    absl::Time ends = absl::InfiniteFuture();
    size_t relays_outstanding = 0;
    size_t relays_denied = 0;
  };
  struct OutstandingProbe {
    InstanceId member;  // The one under test.
    bool relayed = false;
    bool wants_all = false;
  };

  using MemberMap = absl::btree_map<InstanceId, Entry>;

  bool MayServe(const MemberRecord& record) const;
  // Takes back what was concluded while this instance heard from nobody.
  void RevertUnconfirmed(absl::Time now,
                         std::vector<MembershipAction>* actions);
  bool IsLocal(const MemberRecord& record) const {
    return record.region == m_self.region;
  }
  // Takes a record that is news and returns whether it was.
  bool Learn(const MemberRecord& record,
             absl::string_view reason,
             absl::Time now,
             std::vector<MembershipAction>* actions);
  // Learns a record and passes it on.
  void Apply(const MemberRecord& record,
             absl::string_view reason,
             absl::Time now,
             std::vector<MembershipAction>* actions);
  void ApplyAboutSelf(const MemberRecord& record,
                      std::vector<MembershipAction>* actions);
  void Store(const MemberRecord& record, absl::Time now);
  // Sets a state that this instance has found. Without `confirmed` it is not
  // passed on.
  void SetState(const InstanceId& id,
                MemberState state,
                bool confirmed,
                absl::string_view reason,
                absl::Time now,
                std::vector<MembershipAction>* actions);
  absl::Duration ProbePeriod() const;
  size_t SendLimit() const;
  // Updates for a message to `peer`, the least-sent first.
  std::vector<MemberRecord> TakeUpdates(const InstanceId& peer,
                                        const std::string& peer_incarnation);
  void AddRefresh(std::vector<MemberRecord>* updates);

  void Probe(const InstanceId& member,
             const InstanceId& relay,
             std::vector<MembershipAction>* actions);
  void StartRound(const InstanceId& member,
                  absl::Time now,
                  std::vector<MembershipAction>* actions);
  void StartIndirect(const InstanceId& member,
                     absl::Time now,
                     std::vector<MembershipAction>* actions);
  void CountRelay(const InstanceId& member,
                  bool denied,
                  absl::Time now,
                  std::vector<MembershipAction>* actions);
  void EndSuccessfulRound(const InstanceId& member);
  // Another instance answers at the member's address.
  void EndReplacedMember(const InstanceId& member,
                         absl::Time now,
                         std::vector<MembershipAction>* actions);
  void ConcludeFailedRound(const InstanceId& member,
                           absl::Time now,
                           std::vector<MembershipAction>* actions);
  void EndRounds(absl::Time now, std::vector<MembershipAction>* actions);
  void EndSuspicions(absl::Time now, std::vector<MembershipAction>* actions);
  void ProbeCandidates(absl::Time now, std::vector<MembershipAction>* actions);
  void ProbeSeed(std::vector<MembershipAction>* actions);
  void ProbeDead(std::vector<MembershipAction>* actions);
  void ProbeOtherRegion(std::vector<MembershipAction>* actions);
  MemberMap::iterator Forget(MemberMap::iterator entry);
  void DropTombstones(absl::Time now);
  void RebuildPeers();
  std::vector<InstanceId> PickPeers(size_t count, const InstanceId& except);

  const MembershipOptions m_options;
  absl::BitGenRef m_random;
  MemberRecord m_self;
  // Everyone but this instance.
  MemberMap m_members;
  UpdateQueue m_updates;
  absl::btree_map<InstanceId, Round> m_rounds;
  absl::btree_map<ProbeId, OutstandingProbe> m_probes;
  absl::btree_set<InstanceId> m_suspects;
  // Suspects and dead members for whose failure no relay spoke.
  absl::btree_set<InstanceId> m_unconfirmed;
  absl::btree_set<InstanceId> m_dead;        // Of the own region.
  absl::btree_set<InstanceId> m_candidates;  // Of the own region.
  absl::btree_set<InstanceId> m_untried_candidates;
  // Derived from m_members when m_peers_stale.
  std::vector<InstanceId> m_peers;  // Own region, neither dead nor candidates.
  std::vector<InstanceId> m_foreign;  // Other regions, candidates included.
  bool m_peers_stale = true;
  std::vector<std::string> m_seeds;
  // The last member that a refresh slot repeated.
  InstanceId m_refreshed;
  ProbeId m_last_probe = 0;
  uint64_t m_version = 1;
  size_t m_periods = 0;
  bool m_want_all = false;
  absl::Time m_next_probe;
  absl::Time m_next_reconnect;
  absl::Time m_next_cross_region;
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_MEMBERSHIP_H_
