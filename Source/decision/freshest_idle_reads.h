// Default read policy: prefers replicas, ranked by data centre, load, freshness
// and the time since they were last unsuitable (ReadCandidate::recovery). Uses
// the primary if no replica is suitable, or if a read that is not long has
// waited half of the time to its deadline and no replica is free. Never uses it
// while requests that only the primary can run are waiting.

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
