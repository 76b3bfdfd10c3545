// Records when positions of a group's log were first seen. This tells how long
// ago the position that a session has reached came into existence.

#ifndef SOURCE_DECISION_POSITION_TIMELINE_H_
#define SOURCE_DECISION_POSITION_TIMELINE_H_

#include <deque>

#include "Source/base/types.h"
#include "absl/time/time.h"

namespace heatherwick {

class PositionTimeline {
 public:
  void OnPositionSeen(Position position, absl::Time now);

  // Returns a time at which the position is certain to have existed, or the
  // infinite future if it has not been seen.
  absl::Time SeenBy(Position position) const;

 private:
  struct Entry {
    Position position;
    absl::Time seen_by;
  };

  std::deque<Entry> m_entries;  // Both fields increase; at most kMaxEntries.
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_POSITION_TIMELINE_H_
