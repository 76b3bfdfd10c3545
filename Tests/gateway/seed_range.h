// The seeds that the random tests play. FIRST_SEED and LAST_SEED choose others
// by hand.

#ifndef TESTS_GATEWAY_SEED_RANGE_H_
#define TESTS_GATEWAY_SEED_RANGE_H_

#include <stdlib.h>

#include <cstdint>

#include "absl/strings/numbers.h"
#include "doctest/doctest.h"

namespace heatherwick {

struct SeedRange {
  uint32_t first = 1;
  uint32_t last = 60;
};

inline SeedRange SeedsFromEnvironment() {
  SeedRange seeds;
  const char* const first = getenv("FIRST_SEED");
  const char* const last = getenv("LAST_SEED");
  if (first != nullptr) {
    REQUIRE(absl::SimpleAtoi(first, &seeds.first));
  }
  if (last != nullptr) {
    REQUIRE(absl::SimpleAtoi(last, &seeds.last));
  }
  return seeds;
}

}  // namespace heatherwick

#endif  // TESTS_GATEWAY_SEED_RANGE_H_
