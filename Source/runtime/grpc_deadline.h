// Deadlines of gRPC calls from instants of the steady clock. gRPC turns a
// time of day into its monotonic clock when the call starts; a jump between
// the two would move the deadline.

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

// The deadline of a call that is being served, in the steady clock.
inline absl::Time SteadyDeadline(const grpc::ServerContextBase& context) {
  return SteadyNow() + (absl::FromChrono(context.deadline()) - absl::Now());
}

}  // namespace heatherwick

#endif  // SOURCE_RUNTIME_GRPC_DEADLINE_H_
