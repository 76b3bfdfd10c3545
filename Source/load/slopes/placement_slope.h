// Measures the time and memory that the placement of groups takes, and the
// groups whose home moves when an instance leaves.

#ifndef SOURCE_LOAD_SLOPES_PLACEMENT_SLOPE_H_
#define SOURCE_LOAD_SLOPES_PLACEMENT_SLOPE_H_

#include "Source/load/slopes/slope_report.h"

namespace heatherwick {

void MeasurePlacement(SlopeReport* report);

}  // namespace heatherwick

#endif  // SOURCE_LOAD_SLOPES_PLACEMENT_SLOPE_H_
