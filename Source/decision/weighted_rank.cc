// Maps the hash of a member to an exponential variable whose rate is its
// weight.

#include "Source/decision/weighted_rank.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "Source/base/hash.h"

namespace heatherwick {

double WeightedScore(const FleetMember& member, uint64_t seed) {
  const double unit =
      (static_cast<double>(StableHash(member.id, seed)) + 1) /
      (static_cast<double>(std::numeric_limits<uint64_t>::max()) + 2);
  const double weight = std::max<uint32_t>(1, member.capacity);
  return -weight * weight / std::log(unit);
}

}  // namespace heatherwick
