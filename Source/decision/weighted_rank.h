// Weighted rendezvous hashing over the members of the fleet.

#ifndef SOURCE_DECISION_WEIGHTED_RANK_H_
#define SOURCE_DECISION_WEIGHTED_RANK_H_

#include <cstdint>

#include "Source/decision/fleet_member.h"

namespace heatherwick {

// A member's score among others with the same seed; the highest ranks first.
// The chance to rank first grows with the square of the capacity, since a weak
// machine also delays each request more. All instances compute the same scores.
double WeightedScore(const FleetMember& member, uint64_t seed);

}  // namespace heatherwick

#endif  // SOURCE_DECISION_WEIGHTED_RANK_H_
