// Records the log positions that a group's primary reported, with the send
// times of the statements it answered. Determines the position that a read must
// see to meet its maximum staleness.

#ifndef SOURCE_GATEWAY_PRIMARY_POSITION_HISTORY_H_
#define SOURCE_GATEWAY_PRIMARY_POSITION_HISTORY_H_

#include <deque>
#include <optional>

#include "Source/base/types.h"
#include "absl/time/time.h"

namespace heatherwick {

class PrimaryPositionHistory {
 public:
  // The primary's log ended at `position` when it answered a statement that was
  // sent at `send_time`. Thus `position` includes every commit that was
  // acknowledged before `send_time`.
  void Add(absl::Time send_time, Position position);

  // The lowest known position that includes every commit acknowledged before
  // `time`; nullopt if no statement sent at or after `time` has been answered.
  std::optional<Position> LowestPositionCovering(absl::Time time) const;

  // Send time of the newest entry; the infinite past if there is none.
  absl::Time NewestSendTime() const;

  void Clear() { m_entries.clear(); }

 private:
  struct Entry {
    absl::Time send_time;
    Position position;
  };

  std::deque<Entry> m_entries;  // Neither field ever decreases.
};

}  // namespace heatherwick

#endif  // SOURCE_GATEWAY_PRIMARY_POSITION_HISTORY_H_
