// Identifiers and log positions that every part of heatherwick shares.

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

// Names one request within its home instance.
using RequestId = uint64_t;

// Place of an entry in a group's log. Positions are ordered by term first:
// an entry of an abandoned tail has a lower term than the entries that
// replaced it, whatever its log sequence number (LSN).
struct Position {
  uint64_t term = 0;
  uint64_t lsn = 0;  // 0 stands before the first entry.

  auto operator<=>(const Position&) const = default;
};

}  // namespace heatherwick

#endif  // SOURCE_BASE_TYPES_H_
