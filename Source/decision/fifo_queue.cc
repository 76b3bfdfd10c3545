// Orders requests by their arrival.

#include "Source/decision/fifo_queue.h"

#include "Source/kernel/registry.h"

namespace heatherwick {
namespace {

const Registration<QueuePolicy, FifoQueue> g_registration("fifo");

// Maximum number of requests of one lane that are skipped when each of them is
// blocked by itself, such as reads that need a fresher target.
constexpr size_t kMaxSkipped = 8;

}  // namespace

void FifoQueue::OnShares(const Shares& /*shares*/) {}

void FifoQueue::Push(PendingRequest* pending) {
  LaneQueue& lane = m_lanes[static_cast<size_t>(pending->GetLane())];
  lane.requests[pending->sequence] = pending;
  lane.work += pending->estimate.mean;
}

void FifoQueue::Remove(PendingRequest* pending) {
  LaneQueue& lane = m_lanes[static_cast<size_t>(pending->GetLane())];
  lane.requests.erase(pending->sequence);
  lane.work -= pending->estimate.mean;
}

PendingRequest* FifoQueue::Next(absl::Time /*now*/, CanStart can_start) {
  PendingRequest* first = nullptr;
  for (const LaneQueue& lane : m_lanes) {
    size_t skipped = 0;
    for (const auto& [sequence, pending] : lane.requests) {
      if (first != nullptr && first->sequence < sequence) {
        break;
      }
      const StartCheck check = can_start(*pending);
      if (check == StartCheck::kCanStart) {
        first = pending;
      }
      if (check == StartCheck::kCanStart || check == StartCheck::kLaneBlocked ||
          ++skipped > kMaxSkipped) {
        break;
      }
    }
  }
  return first;
}

void FifoQueue::Charge(const PendingRequest& /*pending*/,
                       absl::Duration /*service*/) {}

WorkAhead FifoQueue::EstimateWorkAhead(const PendingRequest& pending,
                                       absl::Time /*now*/) const {
  const LaneQueue& lane = m_lanes[static_cast<size_t>(pending.GetLane())];
  WorkAhead ahead;
  ahead.caller_work = lane.work;
  ahead.total_work = lane.work;
  return ahead;
}

uint32_t FifoQueue::Queued(Lane lane) const {
  return m_lanes[static_cast<size_t>(lane)].requests.size();
}

uint32_t FifoQueue::MaxSlotsForLongWork(uint32_t slots) const {
  return slots;
}

}  // namespace heatherwick
