// Memory for each caller connection, request in flight and peer channel, and
// processor time for each call, over gRPC on the loopback address.

#ifndef SOURCE_LOAD_SLOPES_CONNECTION_SLOPE_H_
#define SOURCE_LOAD_SLOPES_CONNECTION_SLOPE_H_

#include <cstdint>
#include <string>

#include "Source/load/slopes/slope_report.h"
#include "absl/time/time.h"

namespace heatherwick {

// Serves stand-in calls on `port` for `duration`: Probe answers at once,
// Forward stays in flight until the next Probe.
void ServeConnections(uint64_t port, absl::Duration duration);

// Opens up to `connections` channels to a server that ServeConnections runs
// in the process `server_pid`, then calls it.
void MeasureConnections(uint64_t port,
                        const std::string& server_pid,
                        uint64_t connections,
                        SlopeReport* report);

}  // namespace heatherwick

#endif  // SOURCE_LOAD_SLOPES_CONNECTION_SLOPE_H_
