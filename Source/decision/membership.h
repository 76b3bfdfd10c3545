// Tracks which instances are alive, as seen by this instance. It probes other
// members, suspects those that do not answer, and passes member states on in
// the messages of the probes (gossip).
//
// Each instance probes one random peer of its region each second. A peer that
// does not answer is probed through three other members, the relays, before it
// is suspected. A suspect that does not refute the suspicion in time is
// considered dead. The state of a member is decided within its own region;
// other regions learn it through occasional probes across regions. See
// docs/design.md, section 2.7.

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

// Sends a probe. The owner of the Membership object reports the result with
// exactly one call of OnProbeReply or OnProbeFailed, within
// MembershipOptions::probe_deadline.
struct SendProbe {
  ProbeId probe = 0;
  InstanceId to;
  std::string address;
  std::string relay_to;  // Address that `to` probes on request, or empty.
  bool want_all = false;
  std::vector<MemberRecord> updates;
};

// Reports that a member is new or has changed.
struct MemberChanged {
  MemberRecord member;
  MemberState before = MemberState::kCandidate;
  absl::string_view reason;
};

// Reports that this process has taken a higher incarnation, because an earlier
// process of the same name had an incarnation above its own. This happens after
// a clock was set back.
struct IncarnationRaised {
  std::string incarnation;
};

using MembershipAction =
    std::variant<SendProbe, MemberChanged, IncarnationRaised>;

struct MembershipOptions {
  absl::Duration probe_period = absl::Seconds(1);
  // Probe period while more updates wait than fit into one message, as after
  // the loss of a data centre. A third of a second keeps the messages of an
  // instance under 12 kB per second.
  absl::Duration backlog_period = absl::Milliseconds(333);
  // Time without a reply after which the indirect probes start.
  absl::Duration probe_timeout = absl::Milliseconds(300);
  // Time for the indirect probes. A late reply to the direct probe also counts
  // until this time has passed.
  absl::Duration indirect_timeout = absl::Milliseconds(700);
  // Time after which the owner gives up on a probe.
  absl::Duration probe_deadline = absl::Seconds(1);
  absl::Duration suspicion_timeout = absl::Seconds(3);
  size_t num_relays = 3;
  size_t max_updates = 8;
  // Number of places in a message that, if no update needs them, repeat known
  // states. This corrects a view that has missed an update.
  size_t refresh_updates = 2;
  // Number of consecutive failed rounds after which a member is suspected
  // although no relay answered. With fewer, an instance that is cut off
  // would suspect everyone.
  size_t max_unconfirmed_rounds = 3;
  size_t candidate_probes_per_period = 8;
  absl::Duration candidate_retry = absl::Seconds(10);
  // Period at which one dead member is probed. These probes let the two sides
  // of a partition find each other again after it has healed.
  absl::Duration reconnect_period = absl::Seconds(10);
  absl::Duration tombstone_retention = absl::Hours(1);
  absl::Duration cross_region_period = absl::Seconds(10);
  // Number of probe periods after the start in which probes ask for all
  // members.
  size_t join_periods = 3;
};

class Membership {
 public:
  // `random` must outlive the object. `self.state` is ignored.
  Membership(MemberRecord self,
             MembershipOptions options,
             absl::BitGenRef random,
             absl::Time now);

  // Must be called at least every 100 ms.
  void OnTick(absl::Time now, std::vector<MembershipAction>* actions);

  // Handles a probe from another member. The reply carries the result of
  // ReplyUpdates.
  void OnProbe(const MemberRecord& sender,
               const std::vector<MemberRecord>& updates,
               absl::Time now,
               std::vector<MembershipAction>* actions);
  std::vector<MemberRecord> ReplyUpdates(const MemberRecord& sender,
                                         bool want_all);

  // For a probe with `relay_to`, `alive` tells whether the member at that
  // address answered.
  void OnProbeReply(ProbeId probe,
                    bool alive,
                    const MemberRecord& responder,
                    const std::vector<MemberRecord>& updates,
                    absl::Time now,
                    std::vector<MembershipAction>* actions);
  void OnProbeFailed(ProbeId probe,
                     absl::Time now,
                     std::vector<MembershipAction>* actions);

  // Handles the platform's list of instances: adds unknown instances as
  // candidates and removes candidates that the list no longer names. Members
  // that have been in contact are kept even if the list does not name them.
  void OnInstanceList(const std::vector<MemberRecord>& listed,
                      absl::Time now,
                      std::vector<MembershipAction>* actions);

  // Sets the addresses to probe while no peer is known, for a start without
  // the list.
  void SetSeeds(std::vector<std::string> addresses) {
    m_seeds = std::move(addresses);
  }

  // Probes the member at once, because a forwarded request did not reach it.
  void OnUnreachable(const InstanceId& id,
                     absl::Time now,
                     std::vector<MembershipAction>* actions);

  // Announces that this instance is leaving, immediately to `fanout` peers and
  // to the others by gossip.
  void Leave(size_t fanout,
             absl::Time now,
             std::vector<MembershipAction>* actions);

  const MemberRecord& Self() const { return m_self; }
  // Grows when the set of members that may serve changes, and when the address,
  // the incarnation or the suspicion of one of them changes.
  uint64_t Version() const { return m_version; }
  // Returns the members that may serve groups, including this instance unless
  // it is leaving, in the order of their names.
  std::vector<MemberRecord> ServingMembers() const;
  // Returns null when the member is unknown. The pointer is valid until the
  // next call of a non-const function.
  const MemberRecord* Find(const InstanceId& id) const;
  // Returns this instance, every member and every candidate. Dead members are
  // included until MembershipOptions::tombstone_retention has passed.
  std::vector<MemberRecord> All() const;
  // Whether the first probe of every candidate of the own region has ended.
  bool HasJoined() const { return m_untried_candidates.empty(); }

 private:
  struct Entry {
    MemberRecord record;
    absl::Time state_since = absl::InfinitePast();
    absl::Time retry_at = absl::InfinitePast();  // Used for candidates only.
    size_t failed_rounds = 0;
  };
  // The check of one member: a direct probe, then indirect probes through
  // relays.
  struct ProbeRound {
    bool indirect = false;
    absl::Time ends = absl::InfiniteFuture();
    size_t relays_outstanding = 0;
    size_t relays_confirming_failure = 0;
  };
  struct OutstandingProbe {
    InstanceId member;  // The member that is being checked.
    bool relayed = false;
    bool wants_all = false;
  };

  using MemberMap = absl::btree_map<InstanceId, Entry>;

  bool MayServe(const MemberRecord& record) const;
  // Makes the unconfirmed suspects and dead members alive again. Their states
  // were set while no relay answered, when this instance may itself have been
  // cut off.
  void RevertUnconfirmed(absl::Time now,
                         std::vector<MembershipAction>* actions);
  bool IsLocal(const MemberRecord& record) const {
    return record.region == m_self.region;
  }
  // Stores the record if it supersedes the known one. Returns whether it has to
  // be passed on to other members.
  bool MergeRecord(const MemberRecord& record,
                   absl::string_view reason,
                   absl::Time now,
                   std::vector<MembershipAction>* actions);
  // Merges the record and, if that changed anything, queues it to be passed on.
  void MergeAndQueueRecord(const MemberRecord& record,
                           absl::string_view reason,
                           absl::Time now,
                           std::vector<MembershipAction>* actions);
  void MergeRecordOfSelf(const MemberRecord& record,
                         std::vector<MembershipAction>* actions);
  void StoreRecord(const MemberRecord& record, absl::Time now);
  // Sets a state that this instance has concluded by itself. It is passed on
  // only if `confirmed`.
  void SetState(const InstanceId& id,
                MemberState state,
                bool confirmed,
                absl::string_view reason,
                absl::Time now,
                std::vector<MembershipAction>* actions);
  absl::Duration ProbePeriod() const;
  size_t SendLimit() const;
  // Returns the updates for a message to `peer`, those sent least often first.
  std::vector<MemberRecord> TakeUpdates(const InstanceId& peer,
                                        const std::string& peer_incarnation);
  void AddRefreshRecords(std::vector<MemberRecord>* updates);

  void Probe(const InstanceId& member,
             const InstanceId& relay,
             std::vector<MembershipAction>* actions);
  void StartRound(const InstanceId& member,
                  absl::Time now,
                  std::vector<MembershipAction>* actions);
  void StartIndirectProbes(const InstanceId& member,
                           absl::Time now,
                           std::vector<MembershipAction>* actions);
  void OnRelayResult(const InstanceId& member,
                     bool confirms_failure,
                     absl::Time now,
                     std::vector<MembershipAction>* actions);
  void EndSuccessfulRound(const InstanceId& member);
  // Called when another instance answers at the member's address.
  void MarkReplacedMemberDead(const InstanceId& member,
                              absl::Time now,
                              std::vector<MembershipAction>* actions);
  void ConcludeFailedRound(const InstanceId& member,
                           absl::Time now,
                           std::vector<MembershipAction>* actions);
  void EndExpiredRounds(absl::Time now, std::vector<MembershipAction>* actions);
  void EndExpiredSuspicions(absl::Time now,
                            std::vector<MembershipAction>* actions);
  void ProbeCandidates(absl::Time now, std::vector<MembershipAction>* actions);
  void ProbeSeed(std::vector<MembershipAction>* actions);
  void ProbeDead(std::vector<MembershipAction>* actions);
  void ProbeOtherRegion(std::vector<MembershipAction>* actions);
  MemberMap::iterator EraseMember(MemberMap::iterator entry);
  void DropTombstones(absl::Time now);
  void RebuildPeers();
  std::vector<InstanceId> PickPeers(size_t count, const InstanceId& excluded);

  const MembershipOptions m_options;
  absl::BitGenRef m_random;
  MemberRecord m_self;
  // All known members and candidates except this instance.
  MemberMap m_members;
  UpdateQueue m_updates;
  absl::btree_map<InstanceId, ProbeRound> m_rounds;
  absl::btree_map<ProbeId, OutstandingProbe> m_probes;
  absl::btree_set<InstanceId> m_suspects;
  // Suspects and dead members whose failure no relay has confirmed.
  absl::btree_set<InstanceId> m_unconfirmed;
  absl::btree_set<InstanceId> m_dead;        // Own region only.
  absl::btree_set<InstanceId> m_candidates;  // Own region only.
  absl::btree_set<InstanceId> m_untried_candidates;
  // These two are derived from m_members, and rebuilt if m_peers_stale.
  std::vector<InstanceId> m_peers;  // Own region, neither dead nor candidates.
  // Members and candidates of other regions that are not dead.
  std::vector<InstanceId> m_other_region_members;
  bool m_peers_stale = true;
  std::vector<std::string> m_seeds;
  // The last member whose known state was repeated in a message.
  InstanceId m_last_refreshed;
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
