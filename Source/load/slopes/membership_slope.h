// Measures the cost of membership per node and second, and the time that
// changes take to reach every node.

#ifndef SOURCE_LOAD_SLOPES_MEMBERSHIP_SLOPE_H_
#define SOURCE_LOAD_SLOPES_MEMBERSHIP_SLOPE_H_

#include <cstdint>

#include "Source/load/slopes/slope_report.h"

namespace heatherwick {

// Measures messages, bytes, processor time and memory by number of nodes.
void MeasureMembershipCost(uint64_t seed, SlopeReport* report);
// Measures how fast a crash, a leaving member, a restart and a new sheet
// version spread in one region, by number of nodes and message loss.
void MeasureSpread(uint64_t seed, uint64_t runs, SlopeReport* report);
// Measures how fast a leaving member and a new sheet version spread over seven
// regions, and to a region whose partition has healed.
void MeasureRegions(uint64_t seed, SlopeReport* report);
// Measures how fast the failure and the return of many nodes at once spread.
void MeasureMassChange(uint64_t seed, SlopeReport* report);

}  // namespace heatherwick

#endif  // SOURCE_LOAD_SLOPES_MEMBERSHIP_SLOPE_H_
