// Chooses which target of a group to promote, from what is known of the
// targets' logs.
//
// With `sync_replicas` of n, the log of the old primary and those of at least n
// other targets have each acknowledged commit. As long as fewer than n of these
// logs are unknown, at least one holder of each acknowledged commit is known,
// and the most advanced known log has them all. A target whose log is less
// advanced must not be promoted, because a promotion discards what the promoted
// target has not received. Without synchronous replicas nothing is certain, and
// the most advanced target is taken.

#ifndef SOURCE_DECISION_PROMOTION_CHOICE_H_
#define SOURCE_DECISION_PROMOTION_CHOICE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Source/base/types.h"

namespace heatherwick {

// The log of a target other than the old primary.
struct ReplicaLog {
  TargetId id;
  // End of the log; nullopt if the target may hold acknowledged commits that
  // its answers do not show, for example because it does not answer.
  std::optional<Position> received;
  // False if the platform has refused to promote it, or its log is of an older
  // term.
  bool promotable = true;
  bool draining = false;
};

struct PromotionChoice {
  // The target to promote; nullopt if no target is known to be safe.
  std::optional<TargetId> target;
  Position received;  // Of `target`.
  // The least position that includes every acknowledged commit; nullopt if it
  // cannot be derived from the known logs. Position{} without synchronous
  // replicas.
  std::optional<Position> required;
  std::vector<TargetId> unknown;   // Targets whose logs are unknown.
  std::vector<TargetId> excluded;  // Targets that must not be promoted.
};

// `replicas` lists the targets that may hold acknowledged commits, except the
// old primary. `old_primary` is the end of the old primary's log, if it still
// leads and answers, or of that of another target which is certain to lead. A
// draining target is chosen only if no other is safe, and only with synchronous
// replicas, as it has to be replaced again soon.
//
// `all_listed` is false if targets that are not in `replicas` may hold
// acknowledged commits. Only the old primary's log is certain then.
PromotionChoice ChoosePromotion(uint32_t sync_replicas,
                                const std::vector<ReplicaLog>& replicas,
                                std::optional<Position> old_primary,
                                bool all_listed = true);

}  // namespace heatherwick

#endif  // SOURCE_DECISION_PROMOTION_CHOICE_H_
