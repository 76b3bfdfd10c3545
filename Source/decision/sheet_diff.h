// Computes the difference of two sheets, by record kind and name.

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
  std::string record;  // The value of the sheet's column `record`.
  std::string name;
  // All values of an added or removed row, or the differing values of a changed
  // row.
  std::vector<ValueChange> values;

  bool operator==(const RowDifference&) const = default;
};

// Returns the differences in the order group, target, read, request, caller,
// then by name. The order of the rows within the sheets does not matter.
std::vector<RowDifference> DiffSheets(const Sheet& before, const Sheet& after);

}  // namespace heatherwick

#endif  // SOURCE_DECISION_SHEET_DIFF_H_
