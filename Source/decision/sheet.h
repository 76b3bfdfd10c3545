// The sheet is the configuration that operators submit as CSV text: groups,
// targets, read kinds, request kinds and callers. It is immutable once parsed.

#ifndef SOURCE_DECISION_SHEET_H_
#define SOURCE_DECISION_SHEET_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Source/base/types.h"
#include "absl/time/time.h"

namespace heatherwick {

struct TargetRow {
  TargetId id;
  GroupName group;
  DataCentreName data_centre;
  std::string address;       // IP:port
  uint32_t slots = 0;        // Limit of statements that run at the same time.
  uint32_t connections = 0;  // Limit of connections from all instances.

  bool operator==(const TargetRow&) const = default;
};

struct GroupRow {
  GroupName name;
  std::string region;
  std::vector<TargetId> targets;  // In the order of the sheet, never empty.

  bool operator==(const GroupRow&) const = default;
};

struct ReadKindRow {
  std::string name;
  // Maximum age of the data that is read; zero allows only current data.
  absl::Duration max_age;

  bool operator==(const ReadKindRow&) const = default;
};

struct RequestKindRow {
  std::string name;
  bool repeatable = false;  // Whether a request of this kind may run twice.

  bool operator==(const RequestKindRow&) const = default;
};

struct CallerRow {
  CallerName name;
  uint32_t share = 0;  // Relative to the other callers' shares, at least 1.

  bool operator==(const CallerRow&) const = default;
};

struct Sheet {
  std::map<GroupName, GroupRow> groups;
  std::map<TargetId, TargetRow> targets;
  std::map<std::string, ReadKindRow> read_kinds;
  std::map<std::string, RequestKindRow> request_kinds;
  std::map<CallerName, CallerRow> callers;

  bool operator==(const Sheet&) const = default;
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_SHEET_H_
