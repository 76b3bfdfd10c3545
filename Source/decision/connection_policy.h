// Decides how many connections to a target are kept open.

#ifndef SOURCE_DECISION_CONNECTION_POLICY_H_
#define SOURCE_DECISION_CONNECTION_POLICY_H_

#include <cstdint>

#include "absl/time/time.h"

namespace heatherwick {

struct ConnectionDemand {
  uint32_t share = 0;  // Upper limit, whatever the policy wants.
  uint32_t slots = 0;
  uint32_t busy = 0;     // Connections on which a statement runs.
  uint32_t pinned = 0;   // Connections of transactions that run no statement.
  uint32_t waiting = 0;  // Requests that wait only for a connection.
};

class ConnectionPolicy {
 public:
  static constexpr const char* kPluginKind = "connection policy";

  virtual ~ConnectionPolicy() = default;

  // Returns the wanted total number of connections.
  virtual uint32_t WantedConnections(const ConnectionDemand& demand) const = 0;
  // Time after which an idle connection above the wanted number is closed.
  virtual absl::Duration IdleTimeout() const = 0;
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_CONNECTION_POLICY_H_
