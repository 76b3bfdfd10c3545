// Ranks the instances that may serve a group. Every instance computes the
// same ranking from the same members, without any message.

#ifndef SOURCE_DECISION_PLACEMENT_H_
#define SOURCE_DECISION_PLACEMENT_H_

#include <cstddef>
#include <vector>

#include "Source/base/types.h"
#include "absl/strings/string_view.h"

namespace heatherwick {

struct PlacementCandidate {
  InstanceId id;
  DataCentreName data_centre;
};

// Returns the indexes of at most `count` candidates, the home first.
// Rendezvous hashing: when a candidate leaves, only its groups move. The
// second rank is the best candidate of another data centre where there is
// one, so that the loss of a data centre leaves a ready successor.
std::vector<size_t> RankCandidates(
    absl::string_view group,
    const std::vector<PlacementCandidate>& candidates,
    size_t count);

}  // namespace heatherwick

#endif  // SOURCE_DECISION_PLACEMENT_H_
