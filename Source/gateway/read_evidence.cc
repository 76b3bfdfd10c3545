// Keeps the primary's positions of the last seconds.

#include "Source/gateway/read_evidence.h"

#include <algorithm>

namespace heatherwick {
namespace {

// Longer than every allowed age in use; older entries answer no question.
constexpr absl::Duration kHistory = absl::Seconds(10);
// Entries closer than this are merged, which bounds the history's length.
constexpr absl::Duration kResolution = absl::Milliseconds(20);

}  // namespace

void ReadEvidence::Add(absl::Time sent, Position position) {
  if (!m_entries.empty()) {
    Entry& last = m_entries.back();
    if (sent <= last.sent || position < last.position) {
      // Answers may overtake each other; the later one covers this moment.
      return;
    }
    if (m_entries.size() > 1 &&
        sent - m_entries[m_entries.size() - 2].sent < kResolution) {
      last = {sent, position};
      return;
    }
  }
  m_entries.push_back({sent, position});
  while (sent - m_entries.front().sent > kHistory) {
    m_entries.pop_front();
  }
}

std::optional<Position> ReadEvidence::Covering(absl::Time moment) const {
  const auto found =
      std::lower_bound(m_entries.begin(), m_entries.end(), moment,
                       [](const Entry& entry, absl::Time sought) {
                         return entry.sent < sought;
                       });
  if (found == m_entries.end()) {
    return std::nullopt;
  }
  return found->position;
}

absl::Time ReadEvidence::NewestSent() const {
  return m_entries.empty() ? absl::InfinitePast() : m_entries.back().sent;
}

}  // namespace heatherwick
