// Converts between times of the steady clock and deadlines of gRPC calls. A
// deadline given as a time of day is converted to gRPC's monotonic clock when
// the call starts. A step of the system clock between setting the deadline and
// starting the call would shift it, so these functions use the monotonic clock.

#ifndef SOURCE_RUNTIME_GRPC_DEADLINE_H_
#define SOURCE_RUNTIME_GRPC_DEADLINE_H_

#include "Source/base/steady_clock.h"
#include "absl/time/clock.h"
#include "absl/time/time.h"
#include "grpc/support/time.h"
#include "grpcpp/server_context.h"

namespace heatherwick {

inline gpr_timespec GrpcDeadlineIn(absl::Duration remaining) {
  return gpr_time_add(
      gpr_now(GPR_CLOCK_MONOTONIC),
      gpr_time_from_micros(absl::ToInt64Microseconds(remaining), GPR_TIMESPAN));
}

inline gpr_timespec GrpcDeadline(absl::Time steady) {
  return GrpcDeadlineIn(steady - SteadyNow());
}

// Returns the deadline of a call that is being served as a steady clock time.
inline absl::Time SteadyDeadline(const grpc::ServerContextBase& context) {
  return SteadyNow() + (absl::FromChrono(context.deadline()) - absl::Now());
}

}  // namespace heatherwick

#endif  // SOURCE_RUNTIME_GRPC_DEADLINE_H_
