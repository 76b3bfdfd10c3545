// The clock of every deadline, age, lease and timer.

#ifndef SOURCE_BASE_STEADY_CLOCK_H_
#define SOURCE_BASE_STEADY_CLOCK_H_

#include "absl/time/time.h"

namespace heatherwick {

// An instant of a clock that never jumps and also counts the time during
// which the machine was suspended. It is unrelated to the time of day: only
// differences have a meaning, and only within one machine. absl::Now() stays
// for times that people read and for names that differ between two runs.
absl::Time SteadyNow();

}  // namespace heatherwick

#endif  // SOURCE_BASE_STEADY_CLOCK_H_
