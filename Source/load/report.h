// Prints measurements as text, as JSON and as gnuplot data.

#ifndef SOURCE_LOAD_REPORT_H_
#define SOURCE_LOAD_REPORT_H_

#include <string>
#include <vector>

#include "Source/load/experiment.h"
#include "Source/load/goals.h"
#include "Source/load/measurement.h"

namespace heatherwick {

std::string TextReport(const Experiment& experiment,
                       const std::vector<GoalRow>& rows);

// {"experiment":NAME,"seed":N,"goals":[{measure,goal,product,baseline,met}]}
std::string JsonReport(const Experiment& experiment,
                       const std::vector<GoalRow>& rows);

// Columns: second, arrived, then done, refused and failed statements of the
// product and of the baseline during the load swing.
std::string GnuplotData(const Figures& product, const Figures& baseline);

}  // namespace heatherwick

#endif  // SOURCE_LOAD_REPORT_H_
