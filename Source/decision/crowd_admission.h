// Decides in which order a queue is served, and which work in it is refused at
// once because it certainly cannot be served in time.
//
// Answers the load in which all callers return at once, as after a loss of
// power, and the one in which a class sends more than its targets can run: work
// that waits until its deadline only to be refused keeps its caller from trying
// elsewhere, and delays what could still be served. The expected wait follows
// from the work ahead and from the rate at which the queue was served lately.
// Nothing is refused while that rate is not known: until the queue has been
// non-empty for a while, and while it is not served at all, as during a change
// of the primary, because service then resumes at another rate.

#ifndef SOURCE_DECISION_CROWD_ADMISSION_H_
#define SOURCE_DECISION_CROWD_ADMISSION_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "absl/time/time.h"

namespace heatherwick {

// What a statement asks of a queue that it waits in.
struct WaitTerms {
  int priority = 0;  // Lower values are served first.
  // The latency objective is missed after this time.
  absl::Time objective = absl::InfiniteFuture();
  // Work that still waits at this time is refused.
  absl::Time wait_until = absl::InfiniteFuture();
  // The caller awaits no reply after this time.
  absl::Time deadline = absl::InfiniteFuture();
};

class CrowdAdmission {
 public:
  // The number of waiting entries after a change of the queue.
  void OnWaiting(size_t waiting, absl::Time now);
  // An entry that had waited left the queue to be served.
  void OnServed(absl::Time now);

  // The expected wait of an entry behind `ahead` others, or nothing if the rate
  // of service is not known.
  std::optional<absl::Duration> ExpectedWait(size_t ahead,
                                             absl::Time now) const;
  // If an entry behind `ahead` of `waiting` entries clearly cannot be served
  // before `wait_until`: when its caller should return, which grows with the
  // backlog and differs between callers according to `seed`.
  std::optional<absl::Duration> CheckHopeless(size_t ahead,
                                              size_t waiting,
                                              absl::Time wait_until,
                                              uint64_t seed,
                                              absl::Time now) const;

  // True if an entry with terms `first` is served before one with terms
  // `second`, whatever their arrival: those that can still meet their objective
  // precede the others, then the priority counts.
  static bool Precedes(const WaitTerms& first,
                       const WaitTerms& second,
                       absl::Time now);

 private:
  static constexpr size_t kBuckets = 10;
  static constexpr absl::Duration kBucket = absl::Milliseconds(50);

  static int64_t BucketNumber(absl::Time now);
  // Entries served in the `buckets` buckets up to the latest one that has any.
  // The rate is that up to the last entry served, so that it does not decrease
  // while service stalls.
  size_t Served(size_t buckets) const;

  absl::Time m_waiting_since = absl::InfiniteFuture();
  absl::Time m_last_served = absl::InfinitePast();
  // Served entries by BucketNumber() modulo kBuckets, and the numbers that the
  // counts are of.
  std::array<size_t, kBuckets> m_served = {};
  std::array<int64_t, kBuckets> m_numbers = {};
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_CROWD_ADMISSION_H_
