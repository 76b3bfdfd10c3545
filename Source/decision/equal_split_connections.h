// Baseline connections: the share is split equally over the entry instances,
// and connections are opened on demand and closed soon.

#ifndef SOURCE_DECISION_EQUAL_SPLIT_CONNECTIONS_H_
#define SOURCE_DECISION_EQUAL_SPLIT_CONNECTIONS_H_

#include "Source/decision/connection_policy.h"

namespace heatherwick {

class EqualSplitConnections : public ConnectionPolicy {
 public:
  uint32_t Wanted(const ConnectionDemand& demand) const override;
  absl::Duration IdleTimeout() const override;
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_EQUAL_SPLIT_CONNECTIONS_H_
