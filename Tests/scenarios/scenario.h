// Runs a scenario file, which has a description, the instances, and steps that
// run against the real decision classes in virtual time. README.md lists the
// steps.

#ifndef TESTS_SCENARIOS_SCENARIO_H_
#define TESTS_SCENARIOS_SCENARIO_H_

#include <string>
#include <vector>

namespace heatherwick {

struct ScenarioResult {
  std::string description;
  // Failed expectations and violated invariants; empty if the scenario passes.
  std::vector<std::string> failures;
};

ScenarioResult RunScenario(const std::string& path);

}  // namespace heatherwick

#endif  // TESTS_SCENARIOS_SCENARIO_H_
