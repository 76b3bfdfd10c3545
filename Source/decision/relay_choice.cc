// Avoids sources that failed for a time that doubles with each failure.

#include "Source/decision/relay_choice.h"

#include <algorithm>
#include <optional>

namespace heatherwick {
namespace {

// An unresponsive member is asked again after this. The longest time bounds the
// attempts to a machine that is gone for good and still listed.
constexpr absl::Duration kFirstUnresponsive = absl::Seconds(3);
constexpr absl::Duration kLongestUnresponsive = absl::Seconds(24);
constexpr absl::Duration kFirstCannotRead = absl::Milliseconds(500);
constexpr absl::Duration kLongestCannotRead = absl::Seconds(4);
// The store is tried again soon, because an instance that cannot read it cannot
// serve for long; the longest time bounds the calls in an outage. With 800 ms,
// instances that started in an outage served 0.7 s after its end.
constexpr absl::Duration kFirstStoreFailure = absl::Milliseconds(100);
constexpr absl::Duration kLongestStoreFailure = absl::Milliseconds(250);
// Delay before the next attempt when all sources are avoided.
constexpr absl::Duration kMinRetryDelay = absl::Milliseconds(50);

}  // namespace

void RelayChoice::Avoid(const RelaySource& source,
                        absl::Duration first,
                        absl::Duration longest,
                        absl::Time now) {
  Avoided& avoided = m_avoided[source.member];
  avoided.duration = avoided.duration < first
                         ? first
                         : std::min(longest, 2 * avoided.duration);
  avoided.until = now + avoided.duration;
}

bool RelayChoice::IsAvoided(const RelaySource& source, absl::Time now) const {
  const auto found = m_avoided.find(source.member);
  return found != m_avoided.end() && now < found->second.until;
}

void RelayChoice::OnReading(const RelaySource& source) {
  m_avoided.erase(source.member);
  m_last_failed = false;
}

void RelayChoice::OnCannotRead(const RelaySource& source, absl::Time now) {
  m_last_failed = true;
  if (source.IsStore()) {
    // A single failure may be due to a broken connection, so the store is asked
    // again at once, over a new one.
    if (m_avoided.try_emplace(source.member).second) {
      return;
    }
    Avoid(source, kFirstStoreFailure, kLongestStoreFailure, now);
  } else {
    Avoid(source, kFirstCannotRead, kLongestCannotRead, now);
  }
  m_avoided[source.member].unresponsive = false;
}

void RelayChoice::OnUnresponsive(const RelaySource& source, absl::Time now) {
  if (source.IsStore()) {
    OnCannotRead(source, now);
    return;
  }
  m_last_failed = true;
  Avoid(source, kFirstUnresponsive, kLongestUnresponsive, now);
  m_avoided[source.member].unresponsive = true;
}

RelayChoice::Next RelayChoice::Choose(absl::Time now) {
  std::optional<RelaySource> chosen;
  size_t unresponsive = 0;
  for (const RelaySource& source : m_plan.sources) {
    const bool avoided = IsAvoided(source, now);
    unresponsive += avoided && m_avoided[source.member].unresponsive ? 1 : 0;
    if (!avoided && !chosen) {
      chosen = source;
    }
  }
  const RelaySource store;
  // Once several peers are silent, this instance may be the one that is cut
  // off, and the store tells.
  if (m_plan.unresponsive_before_store > 0 &&
      (unresponsive >= m_plan.unresponsive_before_store ||
       (!chosen && unresponsive > 0)) &&
      !IsAvoided(store, now)) {
    chosen = store;
  }
  absl::Duration delay;
  if (!chosen) {
    chosen = *std::min_element(
        m_plan.sources.begin(), m_plan.sources.end(),
        [this](const RelaySource& a, const RelaySource& b) {
          return m_avoided[a.member].until < m_avoided[b.member].until;
        });
    delay = std::max(kMinRetryDelay, m_avoided[chosen->member].until - now);
    delay = std::min(delay, kLongestStoreFailure);
  }
  const bool switched = !(*chosen == m_current);
  m_current = *chosen;
  return {*chosen, delay, switched, switched || m_last_failed};
}

}  // namespace heatherwick
