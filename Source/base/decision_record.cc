// Formats decision records as key=value lines.

#include "Source/base/decision_record.h"

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"

namespace heatherwick {

namespace {

void AppendField(std::string* line,
                 absl::string_view key,
                 absl::string_view value) {
  const bool plain =
      !value.empty() && value.find_first_of(" \t\r\n\"=") == value.npos;
  absl::StrAppend(line, line->empty() ? "" : " ", key, "=");
  if (plain) {
    absl::StrAppend(line, value);
  } else {
    absl::StrAppend(line, "\"", absl::CEscape(value), "\"");
  }
}

}  // namespace

std::string DecisionRecord::Format() const {
  std::string line;
  AppendField(&line, "decision", decision);
  AppendField(&line, "reason", reason);
  for (const auto& [key, value] : fields) {
    AppendField(&line, key, value);
  }
  return line;
}

}  // namespace heatherwick
