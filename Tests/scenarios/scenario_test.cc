// Runs scenario files or random runs:
//   scenario_test FILE...
//   scenario_test --random FIRST COUNT

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
  RandomRunResult totals;
  uint64_t failed = 0;
  for (uint64_t seed = first; seed < first + count; ++seed) {
    const RandomRunResult run = RunRandom(seed, PlatformRules());
    totals.done += run.done;
    totals.not_run += run.not_run;
    totals.unknown += run.unknown;
    totals.promotions += run.promotions;
    totals.sheets += run.sheets;
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
            << totals.done << ", not run " << totals.not_run << ", unknown "
            << totals.unknown << "; promotions " << totals.promotions
            << "; sheets " << totals.sheets << "\n";
  // Runs without any completed work would prove nothing.
  return failed == 0 && totals.done > 0 && totals.promotions > 0 &&
         totals.sheets > 0;
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
  bool passed = !arguments.empty();
  for (const std::string& path : arguments) {
    passed = RunFile(path) && passed;
  }
  return passed ? EXIT_SUCCESS : EXIT_FAILURE;
}

}  // namespace
}  // namespace heatherwick

int main(int argc, char** argv) {
  return heatherwick::Main(std::vector<std::string>(argv + 1, argv + argc));
}
