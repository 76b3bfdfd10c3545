// Derives the required position from the known logs and picks a target that has
// it.

#include "Source/decision/promotion_choice.h"

#include <algorithm>

namespace heatherwick {
namespace {

// The least position that includes every acknowledged commit, if it is known.
std::optional<Position> RequiredPosition(
    uint32_t sync_replicas,
    const std::vector<ReplicaLog>& replicas,
    size_t unknown_count,
    std::optional<Position> old_primary,
    bool all_listed) {
  if (sync_replicas == 0) {
    return Position{};
  }
  std::optional<Position> newest;
  for (const ReplicaLog& replica : replicas) {
    newest = std::max(newest, replica.received);
  }
  if (!all_listed || unknown_count >= sync_replicas || !newest) {
    return old_primary;
  }
  return old_primary ? std::min(*newest, *old_primary) : *newest;
}

}  // namespace

PromotionChoice ChoosePromotion(uint32_t sync_replicas,
                                const std::vector<ReplicaLog>& replicas,
                                std::optional<Position> old_primary,
                                bool all_listed) {
  PromotionChoice choice;
  for (const ReplicaLog& replica : replicas) {
    if (!replica.received) {
      choice.unknown.push_back(replica.id);
    }
    if (!replica.promotable) {
      choice.excluded.push_back(replica.id);
    }
  }
  choice.required = RequiredPosition(
      sync_replicas, replicas, choice.unknown.size(), old_primary, all_listed);
  if (!choice.required) {
    return choice;
  }
  const ReplicaLog* best = nullptr;
  for (const ReplicaLog& replica : replicas) {
    if (!replica.promotable || !replica.received ||
        *replica.received < *choice.required ||
        (replica.draining && sync_replicas == 0)) {
      continue;
    }
    const bool better =
        best == nullptr || (best->draining != replica.draining
                                ? best->draining
                                : best->received < replica.received);
    best = better ? &replica : best;
  }
  if (best != nullptr) {
    choice.target = best->id;
    choice.received = *best->received;
  }
  return choice;
}

}  // namespace heatherwick
