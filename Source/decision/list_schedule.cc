// Spaces the reads of the platform's list, so that there is no burst of reads
// when the list is large or when the store returns after an outage.

#include "Source/decision/list_schedule.h"

#include <algorithm>
#include <string>

#include "absl/random/uniform_real_distribution.h"
#include "absl/strings/str_cat.h"

namespace heatherwick {

namespace {

constexpr size_t kMaxBackoffShift = 10;

}  // namespace

std::vector<size_t> ChooseStorePollers(
    absl::string_view region,
    const std::vector<PlacementCandidate>& candidates) {
  return RankCandidates(absl::StrCat("store-pollers/", region), candidates,
                        kStorePollersPerRegion);
}

ListSchedule::ListSchedule(ListScheduleOptions options,
                           absl::BitGenRef random,
                           absl::Time now)
    : m_options(options),
      m_random(random),
      m_next_read(now + RandomFraction(options.initial_read_spread)) {}

void ListSchedule::SetPoller(bool poller, absl::Time now) {
  if (poller && !m_poller) {
    m_next_read = std::min(m_next_read, now + RandomFraction(Period()));
  }
  m_poller = poller;
}

void ListSchedule::NoteListRead(absl::Time read_at) {
  m_newest_read = std::max(m_newest_read, read_at);
}

void ListSchedule::OnRead(size_t instances, absl::Time now) {
  m_instances = instances;
  m_failures = 0;
  m_newest_read = now;
  m_next_read =
      now +
      (m_poller ? Period() : FallbackDelay() + RandomFraction(ReadSpread()));
}

void ListSchedule::OnReadFailed(absl::Time now) {
  const absl::Duration doubled =
      m_options.min_period *
      (int64_t{1} << std::min(m_failures, kMaxBackoffShift));
  const absl::Duration backoff =
      std::min(m_options.max_backoff, std::max(doubled, FleetReadTime()));
  ++m_failures;
  // Pollers retry at their normal period, so that the return of the store is
  // noticed early. All others back off exponentially.
  m_next_read = now + (m_poller ? Period() : backoff + RandomFraction(backoff));
}

bool ListSchedule::IsDue(absl::Time now) {
  if (now < m_next_read) {
    return false;
  }
  const bool started = m_instances > 0;
  if (m_poller || !started || now - m_newest_read >= FallbackDelay()) {
    return true;
  }
  // The list has been read elsewhere since this read was planned.
  m_next_read = m_newest_read + FallbackDelay() + RandomFraction(ReadSpread());
  return false;
}

absl::Duration ListSchedule::Period() const {
  const double seconds = static_cast<double>(m_instances) *
                         m_options.bytes_per_instance /
                         m_options.bytes_per_second;
  return std::clamp(absl::Seconds(seconds), m_options.min_period,
                    m_options.max_period);
}

absl::Duration ListSchedule::FallbackDelay() const {
  return std::max(m_options.min_fallback_delay,
                  Period() * m_options.fallback_periods);
}

absl::Duration ListSchedule::ReadSpread() const {
  return std::max(m_options.min_fallback_delay, FleetReadTime());
}

absl::Duration ListSchedule::FleetReadTime() const {
  return absl::Seconds(static_cast<double>(m_instances) /
                       m_options.fleet_reads_per_second);
}

absl::Duration ListSchedule::RandomFraction(absl::Duration max_duration) {
  return max_duration * absl::uniform_real_distribution<double>(0, 1)(m_random);
}

}  // namespace heatherwick
