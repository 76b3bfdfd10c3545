// Draws the times of long pauses, of losses of power and of crashes of several
// databases.

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
// With synchronous replicas: between two crashes of a primary together with
// replicas, until each of these is back, and from the crash to the moment when
// all instances are killed.
inline constexpr TimeBounds kTimeToCrashReplicas = {4000, 12000};
inline constexpr TimeBounds kReplicaCrash = {1000, 10000};
inline constexpr TimeBounds kTimeToKillAllAfterCrash = {0, 4000};
// Longer than an order of a promotion may take to its effect.
inline constexpr TimeBounds kLostLogRestart = {3000, 6000};

// Whole milliseconds; both bounds are possible.
inline absl::Duration DrawTime(TimeBounds bounds, std::mt19937* random) {
  return absl::Milliseconds(bounds.min_ms +
                            (*random)() % (bounds.max_ms - bounds.min_ms + 1));
}

}  // namespace heatherwick::platform

#endif  // TESTS_PLATFORM_SOAK_PAUSE_DRAWS_H_
