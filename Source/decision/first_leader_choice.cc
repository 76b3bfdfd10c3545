// Compares the terms of all targets of a group.

#include "Source/decision/first_leader_choice.h"

#include <algorithm>

#include "Source/base/enum_table.h"

namespace heatherwick {
namespace {

constexpr EnumName<FirstLeaderAction> kActionNames[] = {
    {FirstLeaderAction::kWait, "wait"},
    {FirstLeaderAction::kPublish, "publish"},
    {FirstLeaderAction::kElect, "elect"},
};

struct Summary {
  bool any_answered = false;
  bool all_answered = true;
  size_t leading = 0;  // Targets that state that they lead.
  size_t registered = 0;
  uint64_t highest_term = 0;
  const TargetClaim* leader = nullptr;  // Leads in the highest leading term.
  bool outdated_entry = false;  // An entry differs from its target's answer.
};

Summary Summarize(const std::vector<TargetClaim>& targets) {
  Summary summary;
  for (const TargetClaim& target : targets) {
    summary.registered += target.registered_as_primary ? 1 : 0;
    if (!target.answer) {
      summary.all_answered = false;
      continue;
    }
    summary.any_answered = true;
    summary.highest_term = std::max(summary.highest_term, target.answer->term);
    summary.outdated_entry |=
        target.registered_as_primary != target.answer->leads;
    if (target.answer->leads) {
      ++summary.leading;
      if (summary.leader == nullptr ||
          target.answer->term > summary.leader->answer->term) {
        summary.leader = &target;
      }
    }
  }
  return summary;
}

}  // namespace

absl::string_view FirstLeaderActionName(FirstLeaderAction action) {
  return NameOf(kActionNames, action);
}

FirstLeaderChoice ChooseFirstLeader(const std::vector<TargetClaim>& targets,
                                    const std::optional<EarlierClaim>& earlier,
                                    bool rows_may_be_lost,
                                    bool orders_ended) {
  const Summary summary = Summarize(targets);
  const uint64_t highest_term =
      std::max(summary.highest_term, earlier ? earlier->term : 0);
  FirstLeaderChoice choice;
  choice.term = highest_term;
  if (summary.leader != nullptr) {
    choice.target = summary.leader->id;
  } else if (earlier) {
    choice.target = earlier->primary;
  }
  const bool leader_known = summary.all_answered && summary.leader != nullptr &&
                            summary.leader->answer->term >= highest_term;
  const bool has_history = rows_may_be_lost || earlier.has_value() ||
                           highest_term > kFirstTerm || summary.leading > 1 ||
                           summary.registered > 1 || summary.outdated_entry;
  if (leader_known && (orders_ended || !has_history)) {
    choice.action = FirstLeaderAction::kPublish;
    choice.reason = has_history ? "leads in the highest term"
                                : "the only one that has ever led";
  } else if (!orders_ended) {
    choice.reason =
        leader_known ? "orders may be in flight" : "not all targets agree yet";
  } else if (summary.any_answered) {
    choice.action = FirstLeaderAction::kElect;
    choice.reason = summary.all_answered ? "no target leads in the highest term"
                                         : "a target does not answer";
  } else {
    choice.reason = "no target answers";
  }
  return choice;
}

}  // namespace heatherwick
