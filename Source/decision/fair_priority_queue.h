// Default queue policy: priority classes, a fair share for each caller, and
// short statements before long ones. Long statements that have waited long are
// ranked like short ones.
//
// Each caller has a virtual time in each lane: the slot time it received,
// divided by its share. The caller with the least virtual time is served first.
// A burst from one caller therefore waits behind the work of the others, and
// callers can use the share that others leave unused. A caller that becomes
// active starts at the lane's current virtual time, because it has no claim to
// service for the time in which it requested none.

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
  WorkAhead EstimateWorkAhead(const PendingRequest& pending,
                              absl::Time now) const override;
  uint32_t Queued(Lane lane) const override;
  uint32_t MaxSlotsForLongWork(uint32_t slots) const override;

 private:
  static constexpr size_t kClassCount = 3;

  struct LaneUsage {
    absl::Duration virtual_time;
    uint32_t queued = 0;
  };
  struct CallerState {
    uint32_t share = 1;
    uint32_t queued = 0;
    std::array<LaneUsage, kLaneCount> lanes;
    std::array<absl::Duration, kClassCount> work;  // Queued work, in slot time.
    std::array<uint32_t, kClassCount> class_queued{};
    std::array<ServiceRate, kClassCount> rates;
  };
  // Requests of one caller with the same BucketKey, by sequence.
  struct Bucket {
    CallerState* caller = nullptr;
    RequestClass request_class = RequestClass::kWrite;
    bool is_long = false;
    bool begins_transaction = false;
    absl::btree_map<uint64_t, PendingRequest*> requests;
  };
  static size_t KindIndex(const Bucket& bucket) {
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
  // Position of a bucket in the order of service. The smallest is served first.
  struct Rank {
    Lane lane;
    bool exceeds_share;
    RequestClass request_class;
    bool is_long;
    absl::Duration virtual_time;
    uint64_t sequence;
    Bucket* bucket;

    bool operator<(const Rank& other) const;
  };

  CallerState& FindOrAddCaller(const CallerName& name);
  const CallerState* FindCaller(const CallerName& name) const;
  Bucket& FindOrAddBucket(const PendingRequest& pending);
  absl::Duration MinVirtualTime(Lane lane) const;
  void RankBuckets(absl::Time now);
  double VirtualTimeFactor(const CallerState& caller) const;

  Shares m_shares;
  uint64_t m_share_sum = 0;  // Sum over m_callers.
  // Entries have stable addresses and are never removed.
  absl::flat_hash_map<CallerName, std::unique_ptr<CallerState>> m_callers;
  absl::flat_hash_map<BucketKey, std::unique_ptr<Bucket>> m_buckets;
  std::vector<Bucket*> m_bucket_list;
  absl::Time m_now = absl::InfinitePast();  // Time of the last Next or Push.
  std::array<absl::Duration, kLaneCount> m_virtual_time;
  std::array<uint32_t, kLaneCount> m_queued{};
  std::array<absl::Duration, kClassCount> m_work;
  std::vector<Rank>
      m_ranks;  // A member only to avoid an allocation in each call.
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_FAIR_PRIORITY_QUEUE_H_
