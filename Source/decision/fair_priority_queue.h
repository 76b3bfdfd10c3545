// Product queue: priority classes, a fair share for each caller, and short
// statements before long ones with ageing.
//
// Each caller has a virtual time in each lane: the slot time it received,
// divided by its share. The caller with the least virtual time is served
// first, so a rush of one caller waits behind the others' work, and unused
// share is lent. A caller that becomes active starts at the lane's present
// virtual time: it has no claim to service that it did not ask for.

#ifndef SOURCE_DECISION_FAIR_PRIORITY_QUEUE_H_
#define SOURCE_DECISION_FAIR_PRIORITY_QUEUE_H_

#include <array>
#include <memory>
#include <vector>

#include "Source/decision/queue_policy.h"
#include "Source/decision/service_rate.h"
#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"

namespace heatherwick {

class FairPriorityQueue : public QueuePolicy {
 public:
  void OnShares(const Shares& shares) override;
  void Push(PendingRequest* pending) override;
  void Remove(PendingRequest* pending) override;
  PendingRequest* Next(absl::Time now, CanStart can_start) override;
  void Charge(const PendingRequest& pending, absl::Duration service) override;
  WorkAhead AheadOf(const PendingRequest& pending,
                    absl::Time now) const override;
  uint32_t Queued(Lane lane) const override;
  uint32_t SlotsForLongWork(uint32_t slots) const override;

 private:
  static constexpr size_t kClasses = 3;

  struct LaneService {
    absl::Duration virtual_time;
    uint32_t queued = 0;
  };
  struct CallerState {
    uint32_t share = 1;
    uint32_t queued = 0;
    std::array<LaneService, kLaneCount> lanes;
    std::array<absl::Duration, kClasses> work;  // Queued, in slot time.
    std::array<uint32_t, kClasses> class_queued{};
    std::array<ServiceRate, kClasses> rates;
  };
  // Requests of one caller that can replace each other, by sequence.
  struct Bucket {
    CallerState* caller = nullptr;
    RequestClass request_class = RequestClass::kWrite;
    bool is_long = false;
    bool begins_transaction = false;
    absl::btree_map<uint64_t, PendingRequest*> requests;
  };
  static size_t KindOf(const Bucket& bucket) {
    return (bucket.is_long ? 1 : 0) + (bucket.begins_transaction ? 2 : 0);
  }
  struct BucketKey {
    CallerName caller;
    RequestClass request_class;
    bool is_long;
    bool begins_transaction;
    absl::Duration max_age;

    bool operator==(const BucketKey&) const = default;
    template <typename H>
    friend H AbslHashValue(H state, const BucketKey& key) {
      return H::combine(std::move(state), key.caller, key.request_class,
                        key.is_long, key.begins_transaction, key.max_age);
    }
  };
  // Sorts before the others when it should be served first.
  struct Rank {
    Lane lane;
    bool ahead_of_share;
    RequestClass request_class;
    bool is_long;
    absl::Duration virtual_time;
    uint64_t sequence;
    Bucket* bucket;

    bool operator<(const Rank& other) const;
  };

  CallerState& CallerOf(const CallerName& name);
  const CallerState* FindCaller(const CallerName& name) const;
  Bucket& BucketOf(const PendingRequest& pending);
  absl::Duration LeastVirtualTime(Lane lane) const;
  void RankBuckets(absl::Time now);
  double VirtualPerService(const CallerState& caller) const;

  Shares m_shares;
  uint64_t m_share_sum = 0;  // Of all callers in m_callers.
  // Stable addresses; a caller is never removed.
  absl::flat_hash_map<CallerName, std::unique_ptr<CallerState>> m_callers;
  absl::flat_hash_map<BucketKey, std::unique_ptr<Bucket>> m_buckets;
  std::vector<Bucket*> m_bucket_list;
  absl::Time m_now = absl::InfinitePast();  // Of the last Next or Push.
  std::array<absl::Duration, kLaneCount> m_virtual_time;
  std::array<uint32_t, kLaneCount> m_queued{};
  std::array<absl::Duration, kClasses> m_work;
  std::vector<Rank> m_ranks;  // Kept to avoid an allocation for each call.
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_FAIR_PRIORITY_QUEUE_H_
