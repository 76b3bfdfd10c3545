// Runs scenario files, or random runs: scenario_test FILE...
//                                      scenario_test --random FIRST COUNT

#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "Tests/scenarios/random_run.h"
#include "Tests/scenarios/scenario.h"
#include "absl/strings/numbers.h"

namespace heatherwick {
namespace {

bool RunFile(const std::string& path) {
  const ScenarioResult result = RunScenario(path);
  std::cout << (result.failures.empty() ? "holds  " : "FAILED ") << path << ": "
            << result.description << "\n";
  for (const std::string& failure : result.failures) {
    std::cout << "  " << failure << "\n";
  }
  return result.failures.empty();
}

bool RunSeeds(uint64_t first, uint64_t count) {
  RandomRunResult sum;
  uint64_t failed = 0;
  for (uint64_t seed = first; seed < first + count; ++seed) {
    const RandomRunResult run = RunRandom(seed, PlatformRules());
    sum.done += run.done;
    sum.not_run += run.not_run;
    sum.unknown += run.unknown;
    sum.promotions += run.promotions;
    sum.sheets += run.sheets;
    if (!run.violations.empty()) {
      ++failed;
      std::cout << "FAILED seed " << seed << "; repeat with: scenario_test "
                << "--random " << seed << " 1\n";
    }
    for (const std::string& violation : run.violations) {
      std::cout << "  " << violation << "\n";
    }
  }
  std::cout << count << " runs, " << failed << " failed; writes done "
            << sum.done << ", not run " << sum.not_run << ", unknown "
            << sum.unknown << "; promotions " << sum.promotions << "; sheets "
            << sum.sheets << "\n";
  // A run without work would prove nothing.
  return failed == 0 && sum.done > 0 && sum.promotions > 0 && sum.sheets > 0;
}

int Main(const std::vector<std::string>& arguments) {
  if (!arguments.empty() && arguments[0] == "--random") {
    uint64_t first = 0;
    uint64_t count = 0;
    if (arguments.size() != 3 || !absl::SimpleAtoi(arguments[1], &first) ||
        !absl::SimpleAtoi(arguments[2], &count)) {
      std::cerr << "usage: scenario_test --random FIRST COUNT\n";
      return EXIT_FAILURE;
    }
    return RunSeeds(first, count) ? EXIT_SUCCESS : EXIT_FAILURE;
  }
  bool holds = !arguments.empty();
  for (const std::string& path : arguments) {
    holds = RunFile(path) && holds;
  }
  return holds ? EXIT_SUCCESS : EXIT_FAILURE;
}

}  // namespace
}  // namespace heatherwick

int main(int argc, char** argv) {
  return heatherwick::Main(std::vector<std::string>(argv + 1, argv + argc));
}
