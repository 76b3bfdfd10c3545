// Prints tables with a header row and two spaces between columns, or as JSON.

#include "Source/client/output.h"

#include <algorithm>

namespace heatherwick {

namespace {

constexpr size_t kColumnGapSpaces = 2;

using Line = std::vector<std::string>;

std::string CellText(const nlohmann::ordered_json& value) {
  const std::string text =
      value.is_string() ? value.get<std::string>() : value.dump();
  return text.empty() ? "-" : text;
}

void PrintLine(const Line& line,
               const std::vector<size_t>& widths,
               std::ostream* out) {
  for (size_t i = 0; i < line.size(); ++i) {
    *out << line[i];
    if (i + 1 < line.size()) {
      *out << std::string(widths[i] - line[i].size() + kColumnGapSpaces, ' ');
    }
  }
  *out << '\n';
}

void PrintAligned(const Table& table, std::ostream* out) {
  std::vector<Line> lines = {table.columns};
  for (const auto& row : table.rows) {
    Line line;
    for (const nlohmann::ordered_json& value : row) {
      line.push_back(CellText(value));
    }
    lines.push_back(std::move(line));
  }
  std::vector<size_t> widths(table.columns.size());
  for (const Line& line : lines) {
    for (size_t i = 0; i < line.size(); ++i) {
      widths[i] = std::max(widths[i], line[i].size());
    }
  }
  for (const Line& line : lines) {
    PrintLine(line, widths, out);
  }
}

}  // namespace

void PrintTable(const Table& table, OutputFormat format, std::ostream* out) {
  if (format == OutputFormat::kTable) {
    PrintAligned(table, out);
    return;
  }
  nlohmann::ordered_json rows = nlohmann::ordered_json::array();
  for (const auto& row : table.rows) {
    nlohmann::ordered_json object;
    for (size_t i = 0; i < row.size(); ++i) {
      object[table.columns[i]] = row[i];
    }
    rows.push_back(std::move(object));
  }
  PrintJson(rows, out);
}

void PrintJson(const nlohmann::ordered_json& json, std::ostream* out) {
  // A reply may contain invalid UTF-8, for which dump() throws an exception by
  // default. With this option, dump() replaces the invalid bytes.
  *out << json.dump(2, ' ', false,
                    nlohmann::ordered_json::error_handler_t::replace)
       << '\n';
}

}  // namespace heatherwick
