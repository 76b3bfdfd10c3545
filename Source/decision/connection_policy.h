// Decides how many connections to a target are kept.

#ifndef SOURCE_DECISION_CONNECTION_POLICY_H_
#define SOURCE_DECISION_CONNECTION_POLICY_H_

#include <cstdint>

#include "absl/time/time.h"

namespace heatherwick {

struct ConnectionDemand {
  uint32_t share = 0;  // Never exceeded, whatever the policy wants.
  uint32_t slots = 0;
  uint32_t busy = 0;     // A statement runs on them.
  uint32_t pinned = 0;   // Of an open transaction without a statement.
  uint32_t waiting = 0;  // Requests that wait for a connection only.
};

class ConnectionPolicy {
 public:
  static constexpr const char* kPluginKind = "connection policy";

  virtual ~ConnectionPolicy() = default;

  // Connections to have in total.
  virtual uint32_t Wanted(const ConnectionDemand& demand) const = 0;
  // An idle connection above the wanted number is closed after this time.
  virtual absl::Duration IdleTimeout() const = 0;
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_CONNECTION_POLICY_H_
