// Default connection policy: opens connections before requests need them, and
// keeps them open.

#ifndef SOURCE_DECISION_AHEAD_OF_NEED_CONNECTIONS_H_
#define SOURCE_DECISION_AHEAD_OF_NEED_CONNECTIONS_H_

#include "Source/decision/connection_policy.h"

namespace heatherwick {

class AheadOfNeedConnections : public ConnectionPolicy {
 public:
  uint32_t WantedConnections(const ConnectionDemand& demand) const override;
  absl::Duration IdleTimeout() const override;
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_AHEAD_OF_NEED_CONNECTIONS_H_
