// Remembers positions with a time by which each had been seen.

#include "Source/decision/position_timeline.h"

#include <algorithm>

namespace heatherwick {
namespace {

constexpr size_t kMaxEntries = 256;
// Positions that are seen within an interval of this length share an entry and
// count as seen at the end of the interval.
constexpr absl::Duration kResolution = absl::Milliseconds(4);

}  // namespace

void PositionTimeline::OnPositionSeen(Position position, absl::Time now) {
  if (!m_entries.empty()) {
    Entry& last = m_entries.back();
    if (position <= last.position) {
      return;
    }
    if (now < last.seen_by) {
      last.position = position;
      return;
    }
  }
  m_entries.push_back({position, now + kResolution});
  if (m_entries.size() > kMaxEntries) {
    m_entries.pop_front();
  }
}

absl::Time PositionTimeline::SeenBy(Position position) const {
  const auto found =
      std::lower_bound(m_entries.begin(), m_entries.end(), position,
                       [](const Entry& entry, Position sought) {
                         return entry.position < sought;
                       });
  return found == m_entries.end() ? absl::InfiniteFuture() : found->seen_by;
}

}  // namespace heatherwick
