// Cost of membership for each node and second, and the time that changes
// take to reach every node.

#ifndef SOURCE_LOAD_SLOPES_MEMBERSHIP_SLOPE_H_
#define SOURCE_LOAD_SLOPES_MEMBERSHIP_SLOPE_H_

#include <cstdint>

#include "Source/load/slopes/slope_report.h"

namespace heatherwick {

// Messages, bytes, processor time and memory by number of nodes.
void MeasureMembershipCost(uint64_t seed, SlopeReport* report);
// Crash, leaving, restart and sheet version in one region, by size and loss.
void MeasureSpread(uint64_t seed, uint64_t runs, SlopeReport* report);
// A member change and a sheet version over seven regions, and after a cut.
void MeasureRegions(uint64_t seed, SlopeReport* report);
// Many nodes that fail, return or are suspected at once.
void MeasureMassChange(uint64_t seed, SlopeReport* report);

}  // namespace heatherwick

#endif  // SOURCE_LOAD_SLOPES_MEMBERSHIP_SLOPE_H_
