// Draws the times of long pauses and of losses of power.

#ifndef TESTS_PLATFORM_SOAK_PAUSE_DRAWS_H_
#define TESTS_PLATFORM_SOAK_PAUSE_DRAWS_H_

#include <cstdint>
#include <random>

#include "absl/time/time.h"

namespace heatherwick::platform {

struct TimeBounds {
  uint32_t min_ms = 0;
  uint32_t max_ms = 0;
};

inline constexpr TimeBounds kLongPause = {3000, 15000};
// From the end of a long pause to the start of the next.
inline constexpr TimeBounds kTimeToLongPause = {0, 10000};
// From a loss of power to the start of a process.
inline constexpr TimeBounds kTimeWithoutPower = {1000, 2000};

// Whole milliseconds; both bounds are possible.
inline absl::Duration DrawTime(TimeBounds bounds, std::mt19937* random) {
  return absl::Milliseconds(bounds.min_ms +
                            (*random)() % (bounds.max_ms - bounds.min_ms + 1));
}

}  // namespace heatherwick::platform

#endif  // TESTS_PLATFORM_SOAK_PAUSE_DRAWS_H_
