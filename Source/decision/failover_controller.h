// Watches the targets of one group and replaces a failed or leaving primary.
//
// Any instance may run a controller for a group at any time. Safety comes
// from the targets: a term is granted once, to one decider, and a promotion
// needs the grants of a majority. See docs/design.md, section 2.2.

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

// What a target answers to a status call.
struct TargetStatus {
  std::string incarnation;
  uint64_t term = 0;     // Latest term that it was fenced in or follows.
  bool primary = false;  // It leads in `term`.
  Position last;         // End of its log.
  absl::Duration age;    // Of its data; zero at the primary.
  // Since the primary last answered this replica.
  absl::Duration primary_silent;
  bool leaving = false;
};

// Ask the target for its status.
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

// The group has a primary that this instance can use.
struct PrimaryKnown {
  TargetId target;
  uint64_t term = 0;
  absl::string_view reason;  // "reported" or "promoted"
};

// The group has no primary that this instance can use.
struct PrimaryLost {
  absl::string_view reason;
  // The replicas still hear the primary: another instance should serve the
  // group.
  bool home_cut_off = false;
};

// A promotion has begun or has failed; for the log.
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
  // A status call without an answer for this long has failed.
  absl::Duration status_timeout = absl::Milliseconds(500);
  absl::Duration suspicion_after = absl::Seconds(1);
  absl::Duration fence_timeout = absl::Milliseconds(500);
  absl::Duration lowest_back_off = absl::Milliseconds(100);
  absl::Duration highest_back_off = absl::Milliseconds(400);
  // A leaving primary gets no new work for up to `drain_limit` before it is
  // replaced; less when its log has not grown for `drain_quiet`.
  absl::Duration drain_limit = absl::Milliseconds(500);
  absl::Duration drain_quiet = absl::Milliseconds(100);
};

class FailoverController {
 public:
  // `random` draws the back-offs and must outlive the controller.
  FailoverController(FailoverOptions options, absl::BitGenRef random);

  void OnGroup(const std::vector<TargetId>& targets, absl::Time now);

  void OnStatus(const TargetId& target,
                const TargetStatus& status,
                absl::Time now,
                std::vector<FailoverAction>* actions);
  void OnStatusFailed(const TargetId& target,
                      absl::Time now,
                      std::vector<FailoverAction>* actions);
  void OnFenceReply(const TargetId& target,
                    uint64_t asked_term,
                    bool granted,
                    uint64_t term,
                    Position last,
                    absl::Time now,
                    std::vector<FailoverAction>* actions);
  void OnPromoteReply(const TargetId& target,
                      uint64_t asked_term,
                      bool promoted,
                      uint64_t term,
                      absl::Time now,
                      std::vector<FailoverAction>* actions);
  // Call at least every 50 ms; issues the status calls.
  void OnTick(absl::Time now, std::vector<FailoverAction>* actions);

  // A target refused a statement because it no longer leads: read its status
  // at once instead of at the next period.
  void OnPrimaryDoubted(absl::Time now, std::vector<FailoverAction>* actions);

  // Stops starting promotions, as when another instance is the home.
  void SetActive(bool active) { m_active = active; }

  const std::optional<PrimaryKnown>& Primary() const { return m_primary; }

 private:
  enum class Phase { kWatching, kDraining, kFencing, kPromoting, kBackingOff };

  struct Watched {
    TargetStatus status;
    bool ever_answered = false;
    absl::Time answered_at = absl::InfinitePast();
    absl::Time asked_at = absl::InfinitePast();
    absl::Time next_read = absl::InfinitePast();
    bool read_outstanding = false;
  };

  size_t Majority() const { return m_targets.size() / 2 + 1; }
  bool IsFresh(const Watched& watched, absl::Time now) const;
  uint64_t HighestReportedTerm() const;
  // Also of this instance's own attempts.
  uint64_t HighestTerm() const;
  void ReadStatus(const TargetId& target,
                  Watched* watched,
                  absl::Time now,
                  std::vector<FailoverAction>* actions);
  void TakePrimary(const PrimaryKnown& primary,
                   absl::Time now,
                   std::vector<FailoverAction>* actions);
  // Whether the known primary, still in its term, no longer leads, as after
  // a restart.
  bool HasLostRole(const Watched& primary) const;
  void AdoptReportedPrimary(absl::Time now,
                            std::vector<FailoverAction>* actions);
  void LosePrimary(absl::string_view reason,
                   bool home_cut_off,
                   std::vector<FailoverAction>* actions);
  // Replicas that answer and have not heard the primary for the suspicion
  // time; false when too few answer to say.
  bool MajorityOfReplicasMissPrimary(absl::Time now) const;
  // A replica of the highest term hears its primary, and has heard it well
  // after this instance last did.
  bool ReplicaHearsPrimary(absl::Time now) const;
  void ConsiderPromotion(absl::Time now, std::vector<FailoverAction>* actions);
  // Replaces a primary that answers but is cut off from its replicas, or is
  // leaving.
  void ConsiderReplacement(absl::Time now,
                           std::vector<FailoverAction>* actions);
  // The most advanced replica that may replace a leaving primary, or null.
  const Watched* FindSuccessor(absl::Time now) const;
  // While draining: starts the promotion once a successor has caught up.
  void ConsiderHandover(absl::Time now, std::vector<FailoverAction>* actions);
  // The last target that reported to lead, or empty.
  TargetId LatestPrimary() const;
  void StartFencing(absl::string_view reason,
                    absl::Time now,
                    std::vector<FailoverAction>* actions);
  void ChooseAndPromote(absl::Time now, std::vector<FailoverAction>* actions);
  void BackOff(absl::string_view reason,
               absl::Time now,
               std::vector<FailoverAction>* actions);

  const FailoverOptions m_options;
  absl::BitGenRef m_random;
  bool m_active = true;
  std::map<TargetId, Watched> m_targets;
  std::optional<PrimaryKnown> m_primary;
  absl::Time m_primary_since = absl::InfinitePast();
  // Whether PrimaryLost was the latest report, and its home_cut_off.
  std::pair<bool, bool> m_lost;
  absl::Time m_watching_since = absl::InfinitePast();

  Phase m_phase = Phase::kWatching;
  absl::Time m_phase_ends = absl::InfiniteFuture();
  // Of the attempt in progress. Every attempt takes a new term, so that an
  // answer to an older attempt cannot be mistaken for one to this.
  uint64_t m_attempt_term = 0;
  std::map<TargetId, Position> m_grants;
  // The primary to be replaced. It is chosen again only when the grants are
  // no majority without it: its log is often the longest, by entries that it
  // could not replicate.
  TargetId m_suspect;

  // While draining: end of the leaving primary's log, and since when.
  Position m_drain_end;
  absl::Time m_drain_quiet_since = absl::InfinitePast();
  absl::Time m_next_handover = absl::InfinitePast();
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_FAILOVER_CONTROLLER_H_
