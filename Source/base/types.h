// Types of identifiers and log positions that all parts of heatherwick use.

#ifndef SOURCE_BASE_TYPES_H_
#define SOURCE_BASE_TYPES_H_

#include <compare>
#include <cstdint>
#include <string>

namespace heatherwick {

using CallerName = std::string;
using DataCentreName = std::string;
using GroupName = std::string;
using InstanceId = std::string;
using TargetId = std::string;
using WorkspaceName = std::string;

// Identifies a request within the group's home, the instance that owns the
// group's queue.
using RequestId = uint64_t;

// The position of an entry in a group's log. Positions are ordered by term
// first. When a new primary discards the tail of the old primary's log, the
// discarded entries have a lower term than the entries that replace them,
// whatever their log sequence numbers (LSN).
struct Position {
  uint64_t term = 0;
  uint64_t lsn = 0;  // 0 is the position before the first entry.

  auto operator<=>(const Position&) const = default;
};

}  // namespace heatherwick

#endif  // SOURCE_BASE_TYPES_H_
