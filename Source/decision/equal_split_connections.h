// Baseline connection policy: splits the share equally among the entry
// instances (those that receive requests), opens connections on demand and
// closes them soon after use.

#ifndef SOURCE_DECISION_EQUAL_SPLIT_CONNECTIONS_H_
#define SOURCE_DECISION_EQUAL_SPLIT_CONNECTIONS_H_

#include "Source/decision/connection_policy.h"

namespace heatherwick {

class EqualSplitConnections : public ConnectionPolicy {
 public:
  uint32_t WantedConnections(const ConnectionDemand& demand) const override;
  absl::Duration IdleTimeout() const override;
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_EQUAL_SPLIT_CONNECTIONS_H_
