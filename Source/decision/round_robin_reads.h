// Baseline read policy: uses in turn every target that satisfies the read.

#ifndef SOURCE_DECISION_ROUND_ROBIN_READS_H_
#define SOURCE_DECISION_ROUND_ROBIN_READS_H_

#include <vector>

#include "Source/decision/read_policy.h"

namespace heatherwick {

class RoundRobinReads : public ReadPolicy {
 public:
  std::optional<size_t> Choose(const PendingRequest& pending,
                               const std::vector<ReadCandidate>& candidates,
                               absl::Time now) override;

 private:
  TargetId m_last;
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_ROUND_ROBIN_READS_H_
