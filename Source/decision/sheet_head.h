// The head, a record that identifies an accepted sheet, and the names of the
// rows and objects in which the platform's store keeps sheets.

#ifndef SOURCE_DECISION_SHEET_HEAD_H_
#define SOURCE_DECISION_SHEET_HEAD_H_

#include <cstdint>
#include <string>

#include "absl/strings/string_view.h"

namespace heatherwick {

// Value of the row sheet/head, and of the history row of each earlier version.
struct SheetHead {
  uint64_t version = 0;  // 0: no sheet has been accepted.
  std::string content_hash;
  std::string submission;  // Id that is unique for each submission.
  std::string submitted_by;
  int64_t submitted_unix_ms = 0;
  uint64_t base_version = 0;  // Always version - 1.

  bool operator==(const SheetHead&) const = default;
};

inline constexpr char kSheetHeadRow[] = "sheet/head";

// Returns the name of the row that keeps the head of a version after the next
// version was accepted.
std::string SheetHistoryRow(uint64_t version);

// Returns the name of the object that holds the CSV text with this hash.
std::string SheetObjectName(absl::string_view content_hash);

// Returns the XXH3 hash with 128 bits, as 32 hexadecimal digits. The hash is
// the address of the content, so 64 bits would be too few for 45,000 sheets a
// day.
std::string SheetContentHash(absl::string_view content);

}  // namespace heatherwick

#endif  // SOURCE_DECISION_SHEET_HEAD_H_
