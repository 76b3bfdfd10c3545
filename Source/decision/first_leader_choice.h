// Chooses the first primary of a group that has no leader row.
//
// A leader row is missing at the group's first start, but also if the store has
// lost it. The group then has a history: a target that was replaced may still
// claim to lead, and an order of a promotion that was recorded in the lost row
// may still take effect. One claim therefore proves nothing. A target leads if
// all targets have answered, none is in a higher term, and no order is in
// flight.

#ifndef SOURCE_DECISION_FIRST_LEADER_CHOICE_H_
#define SOURCE_DECISION_FIRST_LEADER_CHOICE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Source/base/types.h"
#include "absl/strings/string_view.h"

namespace heatherwick {

// Targets of a group that has never changed its primary are in this term.
inline constexpr uint64_t kFirstTerm = 1;

enum class FirstLeaderAction {
  kWait,
  kPublish,  // The target is known to lead.
  // It cannot be known who leads, so that a target has to be promoted.
  kElect,
};

absl::string_view FirstLeaderActionName(FirstLeaderAction action);

// What a target that is listed for the group says of itself.
struct TargetClaim {
  struct Answer {
    bool leads = false;
    uint64_t term = 0;
  };

  TargetId id;
  bool registered_as_primary = false;  // In its entry, which may be old.
  std::optional<Answer> answer;        // Of the target itself.
};

// A leader that an earlier leader row named.
struct EarlierClaim {
  TargetId primary;
  uint64_t term = 0;
};

struct FirstLeaderChoice {
  FirstLeaderAction action = FirstLeaderAction::kWait;
  // kPublish: the leader. kElect: the target that most likely leads; empty if
  // none is known.
  TargetId target;
  uint64_t term = 0;  // The highest known term.
  std::string reason;
};

// `rows_may_be_lost` tells that the store may have lost the leader row a short
// while ago, so that an order may be in flight and entries of targets missing,
// whatever the others show. `orders_ended` tells that no order of a promotion
// that was sent before the row was lost can take effect any more.
FirstLeaderChoice ChooseFirstLeader(const std::vector<TargetClaim>& targets,
                                    const std::optional<EarlierClaim>& earlier,
                                    bool rows_may_be_lost,
                                    bool orders_ended);

}  // namespace heatherwick

#endif  // SOURCE_DECISION_FIRST_LEADER_CHOICE_H_
