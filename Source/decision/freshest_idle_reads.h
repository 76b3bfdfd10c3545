// Default read policy: prefers replicas, ranked by data centre, load, freshness
// and recovery. Uses the primary only if no replica can serve the read in time.

#ifndef SOURCE_DECISION_FRESHEST_IDLE_READS_H_
#define SOURCE_DECISION_FRESHEST_IDLE_READS_H_

#include <vector>

#include "Source/decision/read_policy.h"

namespace heatherwick {

class FreshestIdleReads : public ReadPolicy {
 public:
  std::optional<size_t> Choose(const PendingRequest& pending,
                               const std::vector<ReadCandidate>& candidates,
                               absl::Time now) override;
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_FRESHEST_IDLE_READS_H_
