// Spaces the reads of the platform's list so that neither a large list nor a
// store that returns after an outage is met by a burst of reads.

#include "Source/decision/list_schedule.h"

#include <algorithm>
#include <string>

#include "absl/random/uniform_real_distribution.h"
#include "absl/strings/str_cat.h"

namespace heatherwick {

namespace {

constexpr size_t kLargestBackOffShift = 10;

}  // namespace

std::vector<size_t> StorePollers(
    absl::string_view region,
    const std::vector<PlacementCandidate>& candidates) {
  return RankCandidates(absl::StrCat("store-pollers/", region), candidates,
                        kStorePollers);
}

ListSchedule::ListSchedule(ListScheduleOptions options,
                           absl::BitGenRef random,
                           absl::Time now)
    : m_options(options),
      m_random(random),
      m_next(now + RandomPart(options.start_spread)) {}

void ListSchedule::SetPoller(bool poller, absl::Time now) {
  if (poller && !m_poller) {
    m_next = std::min(m_next, now + RandomPart(Period()));
  }
  m_poller = poller;
}

void ListSchedule::OnNews(absl::Time read_at) {
  m_news = std::max(m_news, read_at);
}

void ListSchedule::OnRead(size_t instances, absl::Time now) {
  m_instances = instances;
  m_failures = 0;
  m_news = now;
  m_next = now + (m_poller ? Period() : Silence() + RandomPart(Spread()));
}

void ListSchedule::OnReadFailed(absl::Time now) {
  const absl::Duration doubled =
      m_options.shortest_period *
      (int64_t{1} << std::min(m_failures, kLargestBackOffShift));
  const absl::Duration back_off =
      std::min(m_options.longest_back_off, std::max(doubled, FairShare()));
  ++m_failures;
  // Pollers keep trying at their period, so that the return of the store is
  // noticed early; everyone else waits longer with each failure.
  m_next = now + (m_poller ? Period() : back_off + RandomPart(back_off));
}

bool ListSchedule::IsDue(absl::Time now) {
  if (now < m_next) {
    return false;
  }
  const bool started = m_instances > 0;
  if (m_poller || !started || now - m_news >= Silence()) {
    return true;
  }
  // News arrived while the read was planned.
  m_next = m_news + Silence() + RandomPart(Spread());
  return false;
}

absl::Duration ListSchedule::Period() const {
  const double seconds = static_cast<double>(m_instances) *
                         m_options.bytes_per_instance /
                         m_options.bytes_per_second;
  return std::clamp(absl::Seconds(seconds), m_options.shortest_period,
                    m_options.longest_period);
}

absl::Duration ListSchedule::Silence() const {
  return std::max(m_options.shortest_silence,
                  Period() * m_options.silent_periods);
}

absl::Duration ListSchedule::Spread() const {
  return std::max(m_options.shortest_silence, FairShare());
}

absl::Duration ListSchedule::FairShare() const {
  return absl::Seconds(static_cast<double>(m_instances) /
                       m_options.reads_per_second);
}

absl::Duration ListSchedule::RandomPart(absl::Duration whole) {
  return whole * absl::uniform_real_distribution<double>(0, 1)(m_random);
}

}  // namespace heatherwick
