// Ranks the instances that may serve a group. Every instance computes the same
// ranking from the same members, without exchanging messages.

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

// Returns the indexes of at most `count` candidates by rendezvous hashing. The
// first is the group's home (the instance that owns the group's queue). When a
// candidate leaves, only the groups whose home it was get a new home. The
// second is the best candidate in another data centre, if there is one, so that
// a successor remains when a data centre is lost.
std::vector<size_t> RankCandidates(
    absl::string_view group,
    const std::vector<PlacementCandidate>& candidates,
    size_t count);

}  // namespace heatherwick

#endif  // SOURCE_DECISION_PLACEMENT_H_
