// Stores the primary's recent log positions, ordered by time.

#include "Source/gateway/primary_position_history.h"

#include <algorithm>

namespace heatherwick {
namespace {

// Longer than every maximum staleness in use; older entries are never needed.
constexpr absl::Duration kHistoryDuration = absl::Seconds(10);
// Entries closer together than this are merged, which limits their number.
constexpr absl::Duration kMinEntryInterval = absl::Milliseconds(20);

}  // namespace

void PrimaryPositionHistory::Add(absl::Time send_time, Position position) {
  if (!m_entries.empty()) {
    Entry& last = m_entries.back();
    if (send_time <= last.send_time || position < last.position) {
      // Replies may arrive out of order; the entry with the later send time
      // already covers this one.
      return;
    }
    if (m_entries.size() > 1 &&
        send_time - m_entries[m_entries.size() - 2].send_time <
            kMinEntryInterval) {
      last = {send_time, position};
      return;
    }
  }
  m_entries.push_back({send_time, position});
  while (send_time - m_entries.front().send_time > kHistoryDuration) {
    m_entries.pop_front();
  }
}

std::optional<Position> PrimaryPositionHistory::LowestPositionCovering(
    absl::Time time) const {
  const auto found =
      std::lower_bound(m_entries.begin(), m_entries.end(), time,
                       [](const Entry& entry, absl::Time sought_time) {
                         return entry.send_time < sought_time;
                       });
  if (found == m_entries.end()) {
    return std::nullopt;
  }
  return found->position;
}

absl::Time PrimaryPositionHistory::NewestSendTime() const {
  return m_entries.empty() ? absl::InfinitePast() : m_entries.back().send_time;
}

}  // namespace heatherwick
