// A random order of faults and requests, fixed by its seed.

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
  uint64_t sheets = 0;  // Accepted.
};

// About a minute of virtual time under faults, then recovery: each instance
// must serve again.
RandomRunResult RunRandom(uint64_t seed, const PlatformRules& rules);

}  // namespace heatherwick

#endif  // TESTS_SCENARIOS_RANDOM_RUN_H_
