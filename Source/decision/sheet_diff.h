// The difference of two sheets, by record kind and name.

#ifndef SOURCE_DECISION_SHEET_DIFF_H_
#define SOURCE_DECISION_SHEET_DIFF_H_

#include <string>
#include <vector>

#include "Source/decision/sheet.h"
#include "absl/strings/string_view.h"

namespace heatherwick {

enum class RowChange { kAdded, kRemoved, kChanged };

absl::string_view RowChangeName(RowChange change);

struct ValueChange {
  std::string column;
  std::string before;  // Empty in an added row.
  std::string after;   // Empty in a removed row.

  bool operator==(const ValueChange&) const = default;
};

struct RowDifference {
  RowChange change = RowChange::kChanged;
  std::string record;  // As in the sheet's column `record`.
  std::string name;
  // Every value of an added or removed row, else those that changed.
  std::vector<ValueChange> values;

  bool operator==(const RowDifference&) const = default;
};

// In the order group, target, read, request, caller, then by name. The order
// of the rows in the sheets makes no difference.
std::vector<RowDifference> DiffSheets(const Sheet& before, const Sheet& after);

}  // namespace heatherwick

#endif  // SOURCE_DECISION_SHEET_DIFF_H_
