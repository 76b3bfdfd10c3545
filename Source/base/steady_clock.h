// The clock for all deadlines, ages, leases and timers.

#ifndef SOURCE_BASE_STEADY_CLOCK_H_
#define SOURCE_BASE_STEADY_CLOCK_H_

#include "absl/time/time.h"

namespace heatherwick {

// Returns the time of a clock that never jumps and that also counts the time
// during which the machine was suspended. The clock is unrelated to the time of
// day: only differences between two of its times on the same machine are
// meaningful. Use absl::Now() for times that people read and for names that
// must differ between two runs.
absl::Time SteadyNow();

}  // namespace heatherwick

#endif  // SOURCE_BASE_STEADY_CLOCK_H_
