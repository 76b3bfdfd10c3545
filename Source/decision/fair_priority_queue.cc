// Chooses the next request by class, service received and expected duration.

#include "Source/decision/fair_priority_queue.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "Source/kernel/registry.h"

namespace heatherwick {
namespace {

const Registration<QueuePolicy, FairPriorityQueue> g_registration(
    "fair_priority");

// Maximum number of requests of one bucket that are skipped when each of them
// is blocked by itself, such as reads that need a fresher target.
constexpr size_t kMaxSkipped = 8;
// A caller whose virtual time exceeds the least one in the lane by more than
// this is served after the others, whatever the class of its requests. Up to
// this difference, the class takes precedence over the virtual time.
constexpr absl::Duration kMaxVirtualTimeLead = absl::Milliseconds(100);
// A long statement that has waited for this fraction of the time between its
// arrival and its deadline is ranked like a short one, so that it still runs.
constexpr double kLongWaitFraction = 0.25;

bool HasWaitedLong(const PendingRequest& pending, absl::Time now) {
  return now - pending.arrived >
         (pending.request.deadline - pending.arrived) * kLongWaitFraction;
}

size_t IndexOf(Lane lane) {
  return static_cast<size_t>(lane);
}

size_t IndexOf(RequestClass request_class) {
  return static_cast<size_t>(request_class);
}

Lane LaneOf(RequestClass request_class) {
  return request_class == RequestClass::kBoundedStalenessRead ? Lane::kReplica
                                                              : Lane::kPrimary;
}

}  // namespace

bool FairPriorityQueue::Rank::operator<(const Rank& other) const {
  return std::tie(lane, exceeds_share, request_class, is_long, virtual_time,
                  sequence) < std::tie(other.lane, other.exceeds_share,
                                       other.request_class, other.is_long,
                                       other.virtual_time, other.sequence);
}

void FairPriorityQueue::OnShares(const Shares& shares) {
  m_shares = shares;
  for (const auto& [name, share] : shares) {
    FindOrAddCaller(name);
  }
  m_share_sum = 0;
  for (auto& [name, caller] : m_callers) {
    const auto found = m_shares.find(name);
    caller->share = found == m_shares.end() ? 1 : std::max(1U, found->second);
    m_share_sum += caller->share;
  }
}

FairPriorityQueue::CallerState& FairPriorityQueue::FindOrAddCaller(
    const CallerName& name) {
  std::unique_ptr<CallerState>& caller = m_callers[name];
  if (caller == nullptr) {
    caller = std::make_unique<CallerState>();
    m_share_sum += caller->share;
  }
  return *caller;
}

const FairPriorityQueue::CallerState* FairPriorityQueue::FindCaller(
    const CallerName& name) const {
  const auto found = m_callers.find(name);
  return found == m_callers.end() ? nullptr : found->second.get();
}

FairPriorityQueue::Bucket& FairPriorityQueue::FindOrAddBucket(
    const PendingRequest& pending) {
  const ScheduledRequest& request = pending.request;
  std::unique_ptr<Bucket>& bucket = m_buckets[BucketKey{
      request.caller, request.request_class, pending.is_long,
      request.begins_transaction, request.max_age}];
  if (bucket == nullptr) {
    bucket = std::make_unique<Bucket>();
    bucket->caller = &FindOrAddCaller(request.caller);
    bucket->request_class = request.request_class;
    bucket->is_long = pending.is_long;
    bucket->begins_transaction = request.begins_transaction;
    m_bucket_list.push_back(bucket.get());
  }
  return *bucket;
}

void FairPriorityQueue::Push(PendingRequest* pending) {
  const Lane lane = pending->GetLane();
  const size_t class_index = IndexOf(pending->request.request_class);
  Bucket& bucket = FindOrAddBucket(*pending);
  bucket.requests[pending->sequence] = pending;
  CallerState& caller = *bucket.caller;
  LaneUsage& service = caller.lanes[IndexOf(lane)];
  if (service.queued++ == 0) {
    service.virtual_time =
        std::max(service.virtual_time, m_virtual_time[IndexOf(lane)]);
  }
  ++caller.queued;
  m_now = std::max(m_now, pending->arrived);
  if (caller.class_queued[class_index]++ == 0) {
    caller.rates[class_index].OnBacklogged(m_now);
  }
  ++m_queued[IndexOf(lane)];
  caller.work[class_index] += pending->estimate.mean;
  m_work[class_index] += pending->estimate.mean;
}

void FairPriorityQueue::Remove(PendingRequest* pending) {
  const Lane lane = pending->GetLane();
  const size_t class_index = IndexOf(pending->request.request_class);
  Bucket& bucket = FindOrAddBucket(*pending);
  bucket.requests.erase(pending->sequence);
  CallerState& caller = *bucket.caller;
  --caller.lanes[IndexOf(lane)].queued;
  --caller.queued;
  if (--caller.class_queued[class_index] == 0) {
    caller.rates[class_index].OnEmpty();
  }
  --m_queued[IndexOf(lane)];
  caller.work[class_index] -= pending->estimate.mean;
  m_work[class_index] -= pending->estimate.mean;
}

absl::Duration FairPriorityQueue::MinVirtualTime(Lane lane) const {
  absl::Duration least = absl::InfiniteDuration();
  for (const Bucket* bucket : m_bucket_list) {
    if (!bucket->requests.empty() && LaneOf(bucket->request_class) == lane) {
      least =
          std::min(least, bucket->caller->lanes[IndexOf(lane)].virtual_time);
    }
  }
  return least;
}

void FairPriorityQueue::RankBuckets(absl::Time now) {
  m_ranks.clear();
  const std::array<absl::Duration, kLaneCount> least = {
      MinVirtualTime(Lane::kPrimary), MinVirtualTime(Lane::kReplica)};
  for (Bucket* bucket : m_bucket_list) {
    if (bucket->requests.empty()) {
      continue;
    }
    const Lane lane = LaneOf(bucket->request_class);
    const auto& [sequence, first] = *bucket->requests.begin();
    const absl::Duration virtual_time =
        bucket->caller->lanes[IndexOf(lane)].virtual_time;
    m_ranks.push_back(
        {lane, virtual_time > least[IndexOf(lane)] + kMaxVirtualTimeLead,
         bucket->request_class, bucket->is_long && !HasWaitedLong(*first, now),
         virtual_time, sequence, bucket});
  }
  std::sort(m_ranks.begin(), m_ranks.end());
}

PendingRequest* FairPriorityQueue::Next(absl::Time now, CanStart can_start) {
  m_now = now;
  RankBuckets(now);
  std::array<bool, kLaneCount> lane_blocked{};
  std::array<std::array<bool, 4>, kClassCount> kind_blocked{};
  for (const Rank& rank : m_ranks) {
    bool& blocked =
        kind_blocked[IndexOf(rank.request_class)][KindIndex(*rank.bucket)];
    size_t skipped = 0;
    for (const auto& [sequence, pending] : rank.bucket->requests) {
      if (blocked || lane_blocked[IndexOf(rank.lane)] ||
          skipped++ > kMaxSkipped) {
        break;
      }
      const StartCheck check = can_start(*pending);
      if (check == StartCheck::kCanStart) {
        m_virtual_time[IndexOf(rank.lane)] =
            std::max(m_virtual_time[IndexOf(rank.lane)], rank.virtual_time);
        return pending;
      }
      blocked = check == StartCheck::kKindBlocked;
      lane_blocked[IndexOf(rank.lane)] = check == StartCheck::kLaneBlocked;
    }
  }
  return nullptr;
}

double FairPriorityQueue::VirtualTimeFactor(const CallerState& caller) const {
  return static_cast<double>(m_share_sum) / caller.share;
}

void FairPriorityQueue::Charge(const PendingRequest& pending,
                               absl::Duration service) {
  CallerState& caller = FindOrAddCaller(pending.request.caller);
  // Transaction steps do not wait in this queue, so they are no sample for its
  // service rate.
  if (service > absl::ZeroDuration() && !pending.IsStep()) {
    caller.rates[IndexOf(pending.request.request_class)].OnServed(service,
                                                                  m_now);
  }
  caller.lanes[IndexOf(pending.GetLane())].virtual_time +=
      service * VirtualTimeFactor(caller);
}

WorkAhead FairPriorityQueue::EstimateWorkAhead(const PendingRequest& pending,
                                               absl::Time now) const {
  WorkAhead ahead;
  const CallerState* own = FindCaller(pending.request.caller);
  const size_t lane = IndexOf(pending.GetLane());
  const size_t last = IndexOf(pending.request.request_class);
  const size_t first = pending.GetLane() == Lane::kPrimary ? 0 : last;
  uint64_t active_shares = own == nullptr ? 1 : own->share;
  for (const auto& [name, caller] : m_callers) {
    if (caller.get() != own && caller->lanes[lane].queued > 0) {
      active_shares += caller->share;
    }
  }
  for (size_t index = first; index <= last; ++index) {
    ahead.total_work += m_work[index];
    ahead.caller_work +=
        own == nullptr ? absl::ZeroDuration() : own->work[index];
  }
  const double share = own == nullptr ? 1.0 : own->share;
  ahead.caller_slot_fraction = share / static_cast<double>(active_shares);
  if (own != nullptr) {
    ahead.observed_wait = own->rates[last].EstimateWait(own->work[last], now);
  }
  ahead.caller_queued = own == nullptr ? 0 : own->queued;
  ahead.caller_share_fraction =
      share / static_cast<double>(std::max<uint64_t>(1, m_share_sum));
  return ahead;
}

uint32_t FairPriorityQueue::Queued(Lane lane) const {
  return m_queued[IndexOf(lane)];
}

uint32_t FairPriorityQueue::MaxSlotsForLongWork(uint32_t slots) const {
  return std::max(1U, slots / 2);
}

}  // namespace heatherwick
