// Counts served entries in buckets of time, and estimates waits from them.

#include "Source/decision/crowd_admission.h"

#include <algorithm>

namespace heatherwick {
namespace {

// A rate is known once the queue has been non-empty for this long, which is
// less than the 250 ms after which a lender asks, and this many entries were
// served. To refuse work, more must have been served: the random error of the
// rate is then about a third, which kClearly allows for.
constexpr absl::Duration kMinObserved = absl::Milliseconds(200);
constexpr size_t kMinServed = 4;
constexpr size_t kMinServedToRefuse = 8;
// The better of the rates over all buckets and over half of them is used, so
// that a queue whose service has just become faster refuses nothing because of
// the time before.
constexpr size_t kRecentBuckets = 5;
// A queue that was not served for this long is stalled. The connections of a
// lender share a target's slots with those of others and become free in turns;
// with 40 connections, 5 slots and reads of 27 ms, each 216 ms.
constexpr absl::Duration kStall = absl::Milliseconds(250);
// Work is refused if the expected wait exceeds what it may wait by this factor
// and this time.
constexpr double kClearly = 1.5;
constexpr absl::Duration kClearMargin = absl::Milliseconds(100);
// Bounds of the time to return. A longer one would keep callers away after most
// backlogs of a burst have drained.
constexpr absl::Duration kMinRetryAfter = absl::Milliseconds(100);
constexpr absl::Duration kMaxRetryAfter = absl::Seconds(5);
// Times to return lie between this fraction of the time in which the backlog
// drains and twice its distance from 1 above it.
constexpr double kMinSpread = 0.75;
constexpr double kSpread = 0.5;
constexpr uint64_t kSpreadSteps = 1024;

}  // namespace

int64_t CrowdAdmission::BucketNumber(absl::Time now) {
  return (now - absl::UnixEpoch()) / kBucket;
}

void CrowdAdmission::OnWaiting(size_t waiting, absl::Time now) {
  if (waiting == 0) {
    m_waiting_since = absl::InfiniteFuture();
  } else if (m_waiting_since == absl::InfiniteFuture()) {
    m_waiting_since = now;
    m_served.fill(0);
  }
}

void CrowdAdmission::OnServed(absl::Time now) {
  const int64_t number = BucketNumber(now);
  const size_t index = number % kBuckets;
  if (m_numbers[index] != number) {
    m_numbers[index] = number;
    m_served[index] = 0;
  }
  ++m_served[index];
  m_last_served = now;
}

size_t CrowdAdmission::Served(size_t buckets) const {
  const int64_t newest = BucketNumber(m_last_served);
  size_t served = 0;
  for (size_t index = 0; index < kBuckets; ++index) {
    served += m_numbers[index] > newest - static_cast<int64_t>(buckets)
                  ? m_served[index]
                  : 0;
  }
  return served;
}

std::optional<absl::Duration> CrowdAdmission::ExpectedWait(
    size_t ahead,
    absl::Time now) const {
  if (now < m_waiting_since + kMinObserved || now > m_last_served + kStall ||
      Served(kBuckets) < kMinServed) {
    return std::nullopt;
  }
  double per_second = 0;
  for (const size_t buckets : {kBuckets, kRecentBuckets}) {
    const absl::Time start = std::max(
        m_waiting_since,
        absl::UnixEpoch() +
            (BucketNumber(m_last_served) - static_cast<int64_t>(buckets) + 1) *
                kBucket);
    const absl::Duration time = std::max(kBucket, m_last_served - start);
    per_second = std::max(per_second, static_cast<double>(Served(buckets)) /
                                          absl::ToDoubleSeconds(time));
  }
  return absl::Seconds(static_cast<double>(ahead) / per_second);
}

std::optional<absl::Duration> CrowdAdmission::CheckHopeless(
    size_t ahead,
    size_t waiting,
    absl::Time wait_until,
    uint64_t seed,
    absl::Time now) const {
  const std::optional<absl::Duration> wait = ExpectedWait(ahead, now);
  const absl::Duration permitted = wait_until - now;
  if (!wait || Served(kBuckets) < kMinServedToRefuse ||
      *wait < kClearly * permitted || *wait < permitted + kClearMargin) {
    return std::nullopt;
  }
  const absl::Duration drained = ExpectedWait(waiting, now).value_or(*wait);
  const double spread =
      kMinSpread +
      kSpread * static_cast<double>(seed % kSpreadSteps) / kSpreadSteps;
  return std::max(kMinRetryAfter, std::min(kMaxRetryAfter, drained) * spread);
}

bool CrowdAdmission::Precedes(const WaitTerms& first,
                              const WaitTerms& second,
                              absl::Time now) {
  const bool first_late = now > first.objective;
  const bool second_late = now > second.objective;
  return first_late != second_late ? second_late
                                   : first.priority < second.priority;
}

}  // namespace heatherwick
