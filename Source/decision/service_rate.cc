// Exponentially decayed work served, and the wait of a queue at that rate.

#include "Source/decision/service_rate.h"

#include <algorithm>
#include <cmath>

namespace heatherwick {
namespace {

// Short enough to follow a load swing, long enough for some ten statements.
constexpr absl::Duration kWindow = absl::Milliseconds(500);
// Work served in a window that counts as no service at all.
constexpr absl::Duration kLeastServed = absl::Microseconds(100);

}  // namespace

void ServiceRate::OnBacklog(absl::Time now) {
  m_backlogged_since = std::min(m_backlogged_since, now);
}

void ServiceRate::OnServed(absl::Duration work, absl::Time now) {
  m_served = Decayed(now) + work;
  m_served_at = now;
}

absl::Duration ServiceRate::Decayed(absl::Time now) const {
  if (m_served == absl::ZeroDuration()) {
    return m_served;
  }
  return m_served * std::exp(-absl::FDivDuration(now - m_served_at, kWindow));
}

absl::Duration ServiceRate::WaitFor(absl::Duration queued,
                                    absl::Time now) const {
  if (now < m_backlogged_since + kWindow) {
    return absl::ZeroDuration();
  }
  return kWindow *
         absl::FDivDuration(queued, std::max(kLeastServed, Decayed(now)));
}

}  // namespace heatherwick
