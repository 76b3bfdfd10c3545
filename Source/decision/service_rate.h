// Measures the smoothed rate at which a queue is served, and estimates the wait
// from it.

#ifndef SOURCE_DECISION_SERVICE_RATE_H_
#define SOURCE_DECISION_SERVICE_RATE_H_

#include "absl/time/time.h"

namespace heatherwick {

class ServiceRate {
 public:
  // The measured queue became non-empty or empty.
  void OnBacklogged(absl::Time now);
  void OnEmpty() { m_backlogged_since = absl::InfiniteFuture(); }
  // Work left the queue to be served.
  void OnServed(absl::Duration work, absl::Time now);

  // Returns the estimated time to serve `queued` work, or zero until the queue
  // has been non-empty for long enough to measure the rate.
  absl::Duration EstimateWait(absl::Duration queued, absl::Time now) const;

 private:
  absl::Duration DecayedServed(absl::Time now) const;

  absl::Duration m_served;  // Decays with the time constant kWindow.
  absl::Time m_served_at = absl::InfinitePast();
  absl::Time m_backlogged_since = absl::InfiniteFuture();
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_SERVICE_RATE_H_
