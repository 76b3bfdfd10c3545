// Ranks the candidates of a group by rendezvous hashing.

#include "Source/decision/placement.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "Source/base/hash.h"

namespace heatherwick {

std::vector<size_t> RankCandidates(
    absl::string_view group,
    const std::vector<PlacementCandidate>& candidates,
    size_t count) {
  const uint64_t group_hash = StableHash(group);
  std::vector<std::pair<uint64_t, size_t>> weights;
  weights.reserve(candidates.size());
  for (size_t i = 0; i < candidates.size(); ++i) {
    weights.emplace_back(StableHash(candidates[i].id, group_hash), i);
  }
  const auto heavier = [&](const auto& left, const auto& right) {
    return left.first != right.first
               ? left.first > right.first
               : candidates[left.second].id < candidates[right.second].id;
  };
  count = std::min(count, weights.size());
  if (count == 0) {
    return {};
  }
  const auto best = std::min_element(weights.begin(), weights.end(), heavier);
  std::iter_swap(weights.begin(), best);
  const DataCentreName& home_data_centre =
      candidates[weights.front().second].data_centre;
  if (count > 1) {
    const auto other_data_centre_first = [&](const auto& left,
                                             const auto& right) {
      const bool left_other =
          candidates[left.second].data_centre != home_data_centre;
      const bool right_other =
          candidates[right.second].data_centre != home_data_centre;
      return left_other != right_other ? left_other : heavier(left, right);
    };
    const auto second = std::min_element(weights.begin() + 1, weights.end(),
                                         other_data_centre_first);
    std::iter_swap(weights.begin() + 1, second);
  }
  if (count > 2) {
    std::partial_sort(weights.begin() + 2,
                      weights.begin() + static_cast<ptrdiff_t>(count),
                      weights.end(), heavier);
  }
  std::vector<size_t> ranked;
  ranked.reserve(count);
  for (size_t i = 0; i < count; ++i) {
    ranked.push_back(weights[i].second);
  }
  return ranked;
}

}  // namespace heatherwick
