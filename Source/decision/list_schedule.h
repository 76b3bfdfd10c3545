// Decides when an instance reads the platform's list of instances. Two
// instances of each region, the pollers, read it periodically and pass it on.
// The others read it at start, and as a fallback when no list arrives from
// elsewhere.

#ifndef SOURCE_DECISION_LIST_SCHEDULE_H_
#define SOURCE_DECISION_LIST_SCHEDULE_H_

#include <cstddef>
#include <vector>

#include "Source/base/types.h"
#include "Source/decision/placement.h"
#include "absl/random/bit_gen_ref.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace heatherwick {

// Number of instances in each region that read the platform's store for the
// others.
inline constexpr size_t kStorePollersPerRegion = 2;

// Returns the indexes of the candidates that poll the store for `region`. The
// candidates are the region's serving members.
std::vector<size_t> ChooseStorePollers(
    absl::string_view region,
    const std::vector<PlacementCandidate>& candidates);

struct ListScheduleOptions {
  absl::Duration min_period = absl::Seconds(1);
  // The first read starts at a random time within this duration, so that
  // instances that start together do not read together.
  absl::Duration initial_read_spread = absl::Milliseconds(500);
  absl::Duration max_period = absl::Minutes(2);
  // The list can only be read as a whole, because it has neither pages nor
  // versions. A poller spaces its reads to stay within this rate, which is a
  // sixth of an instance's budget for control traffic.
  double bytes_per_second = 2000;
  double bytes_per_instance = 70;
  // An instance that isn't a poller reads the list itself when the newest read
  // that it knows of is older than this many periods and than
  // min_fallback_delay.
  double fallback_periods = 3;
  absl::Duration min_fallback_delay = absl::Seconds(5);
  // Limit for the fallback reads of all instances together.
  double fleet_reads_per_second = 100;
  absl::Duration max_backoff = absl::Minutes(1);
};

class ListSchedule {
 public:
  // `random` must outlive the object.
  ListSchedule(ListScheduleOptions options,
               absl::BitGenRef random,
               absl::Time now);

  void SetPoller(bool poller, absl::Time now);
  // The list was read at `read_at`, by this or by another instance.
  void NoteListRead(absl::Time read_at);
  // These report the result of a read by this instance.
  void OnRead(size_t instances, absl::Time now);
  void OnReadFailed(absl::Time now);

  bool IsDue(absl::Time now);
  // Time of the newest read that this instance knows of, or InfinitePast.
  absl::Time LastListRead() const { return m_newest_read; }

 private:
  absl::Duration Period() const;
  absl::Duration FallbackDelay() const;
  absl::Duration ReadSpread() const;
  // Time in which every instance can read once within
  // fleet_reads_per_second.
  absl::Duration FleetReadTime() const;
  absl::Duration RandomFraction(absl::Duration max_duration);

  const ListScheduleOptions m_options;
  absl::BitGenRef m_random;
  bool m_poller = false;
  size_t m_instances = 0;  // Length of the list at this instance's last read.
  size_t m_failures = 0;   // Consecutive failed reads.
  absl::Time m_newest_read = absl::InfinitePast();
  // Time of the next planned read. Unless this instance is a poller, the read
  // is postponed when the list has recently been read elsewhere.
  absl::Time m_next_read;
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_LIST_SCHEDULE_H_
