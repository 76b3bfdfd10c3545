// Parses a sheet from CSV text and reports all of its mistakes at once.

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
  uint32_t row = 0;     // 1 is the header row; 0 stands for the whole sheet.
  std::string column;   // Empty if the mistake concerns the whole row.
  std::string message;  // The cause and the remedy, separated by a semicolon.
};

using ParsedSheet = std::variant<Sheet, std::vector<SheetMistake>>;

// Parses the CSV text of a sheet. Its header row names the columns, in any
// order: record, name, group, region, data_centre, address, slots, connections,
// max_age, repeatable, share. The column `record` holds the kind of the row:
// group, target, read, request or caller.
ParsedSheet ParseSheet(absl::string_view csv);

}  // namespace heatherwick

#endif  // SOURCE_DECISION_SHEET_PARSER_H_
