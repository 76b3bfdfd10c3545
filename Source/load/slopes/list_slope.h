// Reads of the platform's list when many instances start together, and
// through an outage of the store.

#ifndef SOURCE_LOAD_SLOPES_LIST_SLOPE_H_
#define SOURCE_LOAD_SLOPES_LIST_SLOPE_H_

#include <cstdint>

#include "Source/load/slopes/slope_report.h"

namespace heatherwick {

void MeasureListReads(uint64_t seed, SlopeReport* report);

}  // namespace heatherwick

#endif  // SOURCE_LOAD_SLOPES_LIST_SLOPE_H_
