// Keeps the served work with exponential decay, and derives the service rate.

#include "Source/decision/service_rate.h"

#include <algorithm>
#include <cmath>

namespace heatherwick {
namespace {

// Short enough to follow changes of the load, and long enough for about ten
// statements.
constexpr absl::Duration kWindow = absl::Milliseconds(500);
// Lower limit of the work served in a window, for a queue that is not served.
constexpr absl::Duration kMinServed = absl::Microseconds(100);

}  // namespace

void ServiceRate::OnBacklogged(absl::Time now) {
  m_backlogged_since = std::min(m_backlogged_since, now);
}

void ServiceRate::OnServed(absl::Duration work, absl::Time now) {
  m_served = DecayedServed(now) + work;
  m_served_at = now;
}

absl::Duration ServiceRate::DecayedServed(absl::Time now) const {
  if (m_served == absl::ZeroDuration()) {
    return m_served;
  }
  return m_served * std::exp(-absl::FDivDuration(now - m_served_at, kWindow));
}

absl::Duration ServiceRate::EstimateWait(absl::Duration queued,
                                         absl::Time now) const {
  if (now < m_backlogged_since + kWindow) {
    return absl::ZeroDuration();
  }
  return kWindow *
         absl::FDivDuration(queued, std::max(kMinServed, DecayedServed(now)));
}

}  // namespace heatherwick
