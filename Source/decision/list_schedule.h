// When an instance reads the platform's list. Two instances of each region
// poll it; the others read it at start and when no news of it arrives.

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

// Instances of each region that read the store for the others.
inline constexpr size_t kStorePollers = 2;

// Indexes of the candidates that poll the store for `region`; the candidates
// are the region's serving members.
std::vector<size_t> StorePollers(
    absl::string_view region,
    const std::vector<PlacementCandidate>& candidates);

struct ListScheduleOptions {
  absl::Duration shortest_period = absl::Seconds(1);
  // Spread of the first reads, for instances that start together.
  absl::Duration start_spread = absl::Milliseconds(500);
  absl::Duration longest_period = absl::Minutes(2);
  // The list has no pages and no versions, so a poller spaces its reads to
  // stay within this rate: a sixth of a node's control budget.
  double bytes_per_second = 2000;
  double bytes_per_instance = 70;
  // Without news for this many periods, and at least shortest_silence, an
  // instance that is no poller reads the list itself.
  double silent_periods = 3;
  absl::Duration shortest_silence = absl::Seconds(5);
  // Reads a second of all instances together after a silence.
  double reads_per_second = 100;
  absl::Duration longest_back_off = absl::Minutes(1);
};

class ListSchedule {
 public:
  // `random` must outlive the object.
  ListSchedule(ListScheduleOptions options,
               absl::BitGenRef random,
               absl::Time now);

  void SetPoller(bool poller, absl::Time now);
  // The list was read, here or elsewhere, at `read_at`.
  void OnNews(absl::Time read_at);
  // A read of this instance has ended.
  void OnRead(size_t instances, absl::Time now);
  void OnReadFailed(absl::Time now);

  bool IsDue(absl::Time now);
  // Time of the newest read known; InfinitePast when there is none.
  absl::Time LastNews() const { return m_news; }

 private:
  absl::Duration Period() const;
  absl::Duration Silence() const;
  absl::Duration Spread() const;
  // Time in which every instance may read once.
  absl::Duration FairShare() const;
  absl::Duration RandomPart(absl::Duration whole);

  const ListScheduleOptions m_options;
  absl::BitGenRef m_random;
  bool m_poller = false;
  size_t m_instances = 0;  // In the list when it was last read here.
  size_t m_failures = 0;   // In a row.
  absl::Time m_news = absl::InfinitePast();
  // Of a read that is planned. Cancelled by news unless this is a poller.
  absl::Time m_next;
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_LIST_SCHEDULE_H_
