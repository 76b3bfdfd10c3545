// Watches the targets of one group and replaces a failed or leaving primary.
//
// A group is a set of replicated targets, one of which is the primary. Each
// change of the primary starts a new term, a number that only grows. A target
// that is fenced in a term refuses writes of older terms.
//
// Any instance may run a controller for a group at any time. The targets
// ensure safety: each target grants a term only once, to one controller, and a
// promotion needs grants from a majority of the targets. See docs/design.md,
// section 2.2.

#ifndef SOURCE_DECISION_FAILOVER_CONTROLLER_H_
#define SOURCE_DECISION_FAILOVER_CONTROLLER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "Source/base/types.h"
#include "absl/random/bit_gen_ref.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace heatherwick {

// A target's reply to a status call.
struct TargetStatus {
  std::string incarnation;
  uint64_t term = 0;  // Latest term that the target was fenced in or follows.
  bool primary = false;  // Whether the target is the primary of `term`.
  Position last;         // End of the target's log.
  absl::Duration age;    // Age of the target's data; zero at the primary.
  // Time since the primary last answered this replica.
  absl::Duration since_primary_contact;
  bool leaving = false;
};

// Asks the target for its status.
struct ReadTargetStatus {
  TargetId target;
};

struct FenceTarget {
  TargetId target;
  uint64_t term = 0;
};

struct PromoteTarget {
  TargetId target;
  uint64_t term = 0;
};

// Reports that the group has a primary that this instance can use.
struct PrimaryKnown {
  TargetId target;
  uint64_t term = 0;
  absl::string_view reason;  // "reported" or "promoted"
};

// Reports that the group has no primary that this instance can use.
struct PrimaryLost {
  absl::string_view reason;
  // The replicas still have contact with the primary, so another instance
  // should serve the group.
  bool home_cut_off = false;
};

// A step of a promotion, to be logged.
struct PromotionStep {
  absl::string_view step;  // "drain", "fence", "promote", "back_off"
  absl::string_view reason;
  uint64_t term = 0;
};

using FailoverAction = std::variant<ReadTargetStatus,
                                    FenceTarget,
                                    PromoteTarget,
                                    PrimaryKnown,
                                    PrimaryLost,
                                    PromotionStep>;

struct FailoverOptions {
  absl::Duration status_period = absl::Milliseconds(250);
  // A status call that is not answered within this time has failed.
  absl::Duration status_timeout = absl::Milliseconds(500);
  absl::Duration suspicion_timeout = absl::Seconds(1);
  absl::Duration fence_timeout = absl::Milliseconds(500);
  absl::Duration min_backoff = absl::Milliseconds(100);
  absl::Duration max_backoff = absl::Milliseconds(400);
  // A leaving primary is drained before it is replaced: it gets no new work
  // for up to `drain_timeout`, or until its log has not grown for
  // `drain_quiet_period` if that is earlier.
  absl::Duration drain_timeout = absl::Milliseconds(500);
  absl::Duration drain_quiet_period = absl::Milliseconds(100);
};

class FailoverController {
 public:
  // `random` is used to draw backoff times and must outlive the controller.
  FailoverController(FailoverOptions options, absl::BitGenRef random);

  void SetTargets(const std::vector<TargetId>& targets, absl::Time now);

  void OnStatus(const TargetId& target,
                const TargetStatus& status,
                absl::Time now,
                std::vector<FailoverAction>* actions);
  void OnStatusFailed(const TargetId& target,
                      absl::Time now,
                      std::vector<FailoverAction>* actions);
  void OnFenceReply(const TargetId& target,
                    uint64_t requested_term,
                    bool granted,
                    uint64_t term,
                    Position last,
                    absl::Time now,
                    std::vector<FailoverAction>* actions);
  void OnPromoteReply(const TargetId& target,
                      uint64_t requested_term,
                      bool promoted,
                      uint64_t term,
                      absl::Time now,
                      std::vector<FailoverAction>* actions);
  // Must be called at least every 50 ms. Issues the status calls.
  void OnTick(absl::Time now, std::vector<FailoverAction>* actions);

  // Reads the status of all targets that have no outstanding read now instead
  // of at their next period, for example after a target refused a statement
  // because it is no longer the primary.
  void RefreshTargetStatus(absl::Time now,
                           std::vector<FailoverAction>* actions);

  // An inactive controller starts no promotions. A controller is inactive
  // while another instance is the group's home.
  void SetActive(bool active) { m_active = active; }

  const std::optional<PrimaryKnown>& Primary() const { return m_primary; }

 private:
  enum class Phase { kWatching, kDraining, kFencing, kPromoting, kBackoff };

  struct WatchedTarget {
    TargetStatus status;
    bool ever_answered = false;
    absl::Time answered_at = absl::InfinitePast();
    absl::Time requested_at = absl::InfinitePast();
    absl::Time next_read = absl::InfinitePast();
    bool read_outstanding = false;
  };

  size_t Majority() const { return m_targets.size() / 2 + 1; }
  bool IsFresh(const WatchedTarget& watched, absl::Time now) const;
  uint64_t HighestReportedTerm() const;
  // Includes the terms of this instance's own attempts.
  uint64_t HighestTerm() const;
  void ReadStatus(const TargetId& target,
                  WatchedTarget* watched,
                  absl::Time now,
                  std::vector<FailoverAction>* actions);
  void SetPrimary(const PrimaryKnown& primary,
                  absl::Time now,
                  std::vector<FailoverAction>* actions);
  // Whether the known primary is still in its term but is no longer the
  // primary, for example after a restart.
  bool HasLostRole(const WatchedTarget& primary) const;
  void AdoptReportedPrimary(absl::Time now,
                            std::vector<FailoverAction>* actions);
  void ReportPrimaryLost(absl::string_view reason,
                         bool home_cut_off,
                         std::vector<FailoverAction>* actions);
  // Whether a majority of the replicas answers and has had no contact with the
  // primary for the suspicion timeout. False when too few replicas answer to
  // tell.
  bool MajorityOfReplicasLostPrimary(absl::Time now) const;
  // Whether a replica of the highest term has contact with the primary, and
  // the replica's last contact is later than this instance's own by more than
  // half of the suspicion timeout.
  bool ReplicaHasPrimaryContact(absl::Time now) const;
  void MaybeStartPromotion(absl::Time now,
                           std::vector<FailoverAction>* actions);
  // Starts to replace a primary that answers this instance but is cut off from
  // its replicas, or one that is leaving.
  void MaybeReplacePrimary(absl::Time now,
                           std::vector<FailoverAction>* actions);
  // Returns the replica with the most advanced log that may replace a leaving
  // primary, or null.
  const WatchedTarget* FindSuccessor(absl::Time now) const;
  // Called while draining. Starts the promotion once a successor has caught
  // up.
  void MaybeStartHandover(absl::Time now, std::vector<FailoverAction>* actions);
  // Returns the target that reported to be the primary of the latest term, or
  // an empty id.
  TargetId LatestPrimary() const;
  void StartFencing(absl::string_view reason,
                    absl::Time now,
                    std::vector<FailoverAction>* actions);
  void ChooseAndPromote(absl::Time now, std::vector<FailoverAction>* actions);
  void StartBackoff(absl::string_view reason,
                    absl::Time now,
                    std::vector<FailoverAction>* actions);

  const FailoverOptions m_options;
  absl::BitGenRef m_random;
  bool m_active = true;
  std::map<TargetId, WatchedTarget> m_targets;
  std::optional<PrimaryKnown> m_primary;
  absl::Time m_primary_since = absl::InfinitePast();
  // Whether PrimaryLost was the latest report, and its `home_cut_off`.
  std::pair<bool, bool> m_last_loss;
  absl::Time m_watching_since = absl::InfinitePast();

  Phase m_phase = Phase::kWatching;
  absl::Time m_phase_ends = absl::InfiniteFuture();
  // Term of the promotion attempt in progress. Every attempt takes a new term,
  // so that a reply to an older attempt cannot be mistaken for a reply to this
  // one.
  uint64_t m_attempt_term = 0;
  std::map<TargetId, Position> m_grants;
  // The primary to be replaced. Its log is often the longest, because of
  // entries that it could not replicate. It is therefore promoted again only
  // if the other targets that granted the term are not a majority by
  // themselves.
  TargetId m_suspect;

  // While draining: the end of the leaving primary's log, and the time since
  // which the log has not grown.
  Position m_drain_end;
  absl::Time m_drain_quiet_since = absl::InfinitePast();
  absl::Time m_earliest_handover = absl::InfinitePast();
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_FAILOVER_CONTROLLER_H_
