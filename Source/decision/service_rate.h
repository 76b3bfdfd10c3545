// Smoothed rate at which a queue is served, and the wait that follows from it.

#ifndef SOURCE_DECISION_SERVICE_RATE_H_
#define SOURCE_DECISION_SERVICE_RATE_H_

#include "absl/time/time.h"

namespace heatherwick {

class ServiceRate {
 public:
  // The queue of work that the rate is about became non-empty or empty.
  void OnBacklog(absl::Time now);
  void OnEmpty() { m_backlogged_since = absl::InfiniteFuture(); }
  // Work left the queue to be served.
  void OnServed(absl::Duration work, absl::Time now);

  // Time to serve `queued`; zero while the queue has not been backlogged for
  // long enough to know.
  absl::Duration WaitFor(absl::Duration queued, absl::Time now) const;

 private:
  absl::Duration Decayed(absl::Time now) const;

  absl::Duration m_served;  // Decays with kWindow.
  absl::Time m_served_at = absl::InfinitePast();
  absl::Time m_backlogged_since = absl::InfiniteFuture();
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_SERVICE_RATE_H_
