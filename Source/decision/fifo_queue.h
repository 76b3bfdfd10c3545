// Baseline queue policy: first in, first out across all callers and classes.

#ifndef SOURCE_DECISION_FIFO_QUEUE_H_
#define SOURCE_DECISION_FIFO_QUEUE_H_

#include <array>

#include "Source/decision/queue_policy.h"
#include "absl/container/btree_map.h"

namespace heatherwick {

class FifoQueue : public QueuePolicy {
 public:
  void OnShares(const Shares& shares) override;
  void Push(PendingRequest* pending) override;
  void Remove(PendingRequest* pending) override;
  PendingRequest* Next(absl::Time now, CanStart can_start) override;
  void Charge(const PendingRequest& pending, absl::Duration service) override;
  WorkAhead EstimateWorkAhead(const PendingRequest& pending,
                              absl::Time now) const override;
  uint32_t Queued(Lane lane) const override;
  uint32_t MaxSlotsForLongWork(uint32_t slots) const override;

 private:
  struct LaneQueue {
    absl::btree_map<uint64_t, PendingRequest*> requests;  // By sequence.
    absl::Duration work;
  };

  std::array<LaneQueue, kLaneCount> m_lanes;
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_FIFO_QUEUE_H_
