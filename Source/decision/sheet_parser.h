// Reads a sheet from CSV and reports all of its mistakes at once.

#ifndef SOURCE_DECISION_SHEET_PARSER_H_
#define SOURCE_DECISION_SHEET_PARSER_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "Source/decision/sheet.h"
#include "absl/strings/string_view.h"

namespace heatherwick {

struct SheetMistake {
  uint32_t row = 0;     // 1 is the header row; 0 concerns the whole sheet.
  std::string column;   // Empty when the whole row is concerned.
  std::string message;  // Names the cause and the remedy.
};

using ParsedSheet = std::variant<Sheet, std::vector<SheetMistake>>;

// Columns, in any order, named by the header row: record, name, group,
// region, data_centre, address, slots, connections, max_age, repeatable,
// share. `record` is one of group, target, read, request, caller.
ParsedSheet ParseSheet(absl::string_view csv);

}  // namespace heatherwick

#endif  // SOURCE_DECISION_SHEET_PARSER_H_
