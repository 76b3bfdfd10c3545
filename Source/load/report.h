// Formats measurements as text, as JSON and as gnuplot data.

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

// One line per second of the load swing. Columns: second, arrived statements,
// then the done, refused and failed statements of the product and of the
// baseline.
std::string GnuplotData(const ExperimentFigures& product,
                        const ExperimentFigures& baseline);

}  // namespace heatherwick

#endif  // SOURCE_LOAD_REPORT_H_
