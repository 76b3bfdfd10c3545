// Runs a random sequence of faults and requests that is determined by a seed.

#ifndef TESTS_SCENARIOS_RANDOM_RUN_H_
#define TESTS_SCENARIOS_RANDOM_RUN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "Tests/scenarios/fake_target.h"

namespace heatherwick {

struct RandomRunResult {
  std::vector<std::string> violations;
  size_t done = 0;
  size_t not_run = 0;
  size_t unknown = 0;
  uint64_t promotions = 0;
  uint64_t sheets = 0;  // Number of accepted sheets.
};

// Runs about a minute of virtual time under faults and then ends all faults.
// Every instance must then serve again.
RandomRunResult RunRandom(uint64_t seed, const PlatformRules& rules);

}  // namespace heatherwick

#endif  // TESTS_SCENARIOS_RANDOM_RUN_H_
