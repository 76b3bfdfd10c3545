// Chooses among the targets that satisfy a read: each in turn, in the order of
// their identifiers.

#include "Source/decision/round_robin_reads.h"

#include "Source/kernel/registry.h"

namespace heatherwick {
namespace {

const Registration<ReadPolicy, RoundRobinReads> g_registration("round_robin");

}  // namespace

std::optional<size_t> RoundRobinReads::Choose(
    const PendingRequest& /*pending*/,
    const std::vector<ReadCandidate>& candidates,
    absl::Time /*now*/) {
  // The target with the next identifier after the last one used. If there is
  // none, the target with the first identifier.
  std::optional<size_t> next;
  std::optional<size_t> first;
  for (size_t index = 0; index < candidates.size(); ++index) {
    const ReadCandidate& candidate = candidates[index];
    if (!candidate.can_start) {
      continue;
    }
    if (!first.has_value() || candidate.id < candidates[*first].id) {
      first = index;
    }
    if (candidate.id > m_last &&
        (!next.has_value() || candidate.id < candidates[*next].id)) {
      next = index;
    }
  }
  const std::optional<size_t> chosen = next.has_value() ? next : first;
  if (chosen.has_value()) {
    m_last = candidates[*chosen].id;
  }
  return chosen;
}

}  // namespace heatherwick
