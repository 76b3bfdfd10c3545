// Reads CLOCK_BOOTTIME. CLOCK_MONOTONIC would stop while the machine is
// suspended, but leases must expire during that time too.

#include "Source/base/steady_clock.h"

#include <time.h>

namespace heatherwick {

absl::Time SteadyNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return absl::TimeFromTimespec(now);
}

}  // namespace heatherwick
