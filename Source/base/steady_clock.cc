// CLOCK_MONOTONIC stops while a machine is suspended; a lease must not.

#include "Source/base/steady_clock.h"

#include <time.h>

namespace heatherwick {

absl::Time SteadyNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return absl::TimeFromTimespec(now);
}

}  // namespace heatherwick
