// Measures the memory per caller connection, in-flight request and peer
// channel, and the processor time per call, with gRPC over the loopback
// address.

#ifndef SOURCE_LOAD_SLOPES_CONNECTION_SLOPE_H_
#define SOURCE_LOAD_SLOPES_CONNECTION_SLOPE_H_

#include <cstdint>
#include <string>

#include "Source/load/slopes/slope_report.h"
#include "absl/time/time.h"

namespace heatherwick {

// Runs a server with a fake Peer service on `port` for `duration`. It replies
// to Probe at once; a Forward call stays in flight until the next Probe.
void ServeConnections(uint64_t port, absl::Duration duration);

// Opens up to `connections` channels to the server that ServeConnections runs
// in the process `server_pid`, sends calls and adds the results to `report`.
void MeasureConnections(uint64_t port,
                        const std::string& server_pid,
                        uint64_t connections,
                        SlopeReport* report);

}  // namespace heatherwick

#endif  // SOURCE_LOAD_SLOPES_CONNECTION_SLOPE_H_
