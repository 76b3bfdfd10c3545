// Product connections: opened before a request needs them, and kept.

#ifndef SOURCE_DECISION_AHEAD_OF_NEED_CONNECTIONS_H_
#define SOURCE_DECISION_AHEAD_OF_NEED_CONNECTIONS_H_

#include "Source/decision/connection_policy.h"

namespace heatherwick {

class AheadOfNeedConnections : public ConnectionPolicy {
 public:
  uint32_t Wanted(const ConnectionDemand& demand) const override;
  absl::Duration IdleTimeout() const override;
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_AHEAD_OF_NEED_CONNECTIONS_H_
