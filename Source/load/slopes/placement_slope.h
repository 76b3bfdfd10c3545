// Time, memory and moved groups of the placement as members change.

#ifndef SOURCE_LOAD_SLOPES_PLACEMENT_SLOPE_H_
#define SOURCE_LOAD_SLOPES_PLACEMENT_SLOPE_H_

#include "Source/load/slopes/slope_report.h"

namespace heatherwick {

void MeasurePlacement(SlopeReport* report);

}  // namespace heatherwick

#endif  // SOURCE_LOAD_SLOPES_PLACEMENT_SLOPE_H_
