// Compares measured figures with the goals of docs/design.md, section 1.4.

#ifndef SOURCE_LOAD_GOALS_H_
#define SOURCE_LOAD_GOALS_H_

#include <string>
#include <vector>

#include "Source/load/measurement.h"

namespace heatherwick {

struct GoalRow {
  std::string measure;
  std::string goal;
  std::string product;
  std::string baseline;
  bool met = false;  // Whether the product meets the goal.
};

std::vector<GoalRow> CompareWithGoals(const ExperimentFigures& product,
                                      const ExperimentFigures& baseline);

}  // namespace heatherwick

#endif  // SOURCE_LOAD_GOALS_H_
