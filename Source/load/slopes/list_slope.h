// Measures the reads of the platform's list of instances when many instances
// start at the same time, and after an outage of the store.

#ifndef SOURCE_LOAD_SLOPES_LIST_SLOPE_H_
#define SOURCE_LOAD_SLOPES_LIST_SLOPE_H_

#include <cstdint>

#include "Source/load/slopes/slope_report.h"

namespace heatherwick {

void MeasureListReads(uint64_t seed, SlopeReport* report);

}  // namespace heatherwick

#endif  // SOURCE_LOAD_SLOPES_LIST_SLOPE_H_
