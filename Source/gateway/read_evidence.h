// Tells which log position a read must see, from positions that a group's
// primary showed at known times.

#ifndef SOURCE_GATEWAY_READ_EVIDENCE_H_
#define SOURCE_GATEWAY_READ_EVIDENCE_H_

#include <deque>
#include <optional>

#include "Source/base/types.h"
#include "absl/time/time.h"

namespace heatherwick {

class ReadEvidence {
 public:
  // The primary's log ended at `position` when it
  // answered a statement that was sent at `sent`: every commit that was
  // acknowledged before `sent` is contained in `position`.
  void Add(absl::Time sent, Position position);

  // The lowest known position that contains every commit acknowledged before
  // `moment`; none when nothing sent at or after `moment` was answered.
  std::optional<Position> Covering(absl::Time moment) const;

  // Send time of the newest entry; the infinite past when there is none.
  absl::Time NewestSent() const;

  void Clear() { m_entries.clear(); }

 private:
  struct Entry {
    absl::Time sent;
    Position position;
  };

  std::deque<Entry> m_entries;  // Both fields never fall.
};

}  // namespace heatherwick

#endif  // SOURCE_GATEWAY_READ_EVIDENCE_H_
