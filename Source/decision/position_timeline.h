// Remembers when positions of a group's log were first seen, to tell how old
// a session's progress is.

#ifndef SOURCE_DECISION_POSITION_TIMELINE_H_
#define SOURCE_DECISION_POSITION_TIMELINE_H_

#include <deque>

#include "Source/base/types.h"
#include "absl/time/time.h"

namespace heatherwick {

class PositionTimeline {
 public:
  void OnSeen(Position position, absl::Time now);

  // Time at which the position existed for certain; infinite future when it
  // has not been seen.
  absl::Time ExistedAt(Position position) const;

 private:
  struct Entry {
    Position position;
    absl::Time at;
  };

  std::deque<Entry> m_entries;  // Both fields grow; at most kMaxEntries.
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_POSITION_TIMELINE_H_
