// Reads the rows with libcsv, checks each row by itself and then the sheet
// as a whole. If there is any mistake, no sheet is returned. The name of a row
// with a mistake stays known, so that rows that refer to it cause no further
// mistakes.

#include "Source/decision/sheet_parser.h"

#include <arpa/inet.h>
#include <csv.h>

#include <algorithm>
#include <array>
#include <optional>
#include <set>
#include <utility>

#include "Source/base/enum_table.h"
#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace heatherwick {

namespace {

// The home of a group (the instance that owns the group's queue) uses at most
// (connections - 2) / 2 of a target's connections, so that an old and a new
// home together stay below the limit. With 4 connections, a home can use one.
constexpr uint32_t kMinConnections = 4;
constexpr uint32_t kMaxConnections = 100000;
constexpr uint32_t kMaxShare = 1000000;
constexpr absl::Duration kMaxReadAge = absl::Hours(24);
constexpr size_t kMaxNameBytes = 64;
// A sheet is sent in one message, and gRPC accepts messages of up to 4 MiB. A
// sheet of 22,000 targets, the size to support, needs about 1.7 MiB.
constexpr size_t kMaxSheetBytes = 3 << 20;
constexpr absl::string_view kByteOrderMark = "\xef\xbb\xbf";

enum class Record { kGroup, kTarget, kRead, kRequest, kCaller };

constexpr EnumName<Record> kRecordNames[] = {
    {Record::kGroup, "group"},   {Record::kTarget, "target"},
    {Record::kRead, "read"},     {Record::kRequest, "request"},
    {Record::kCaller, "caller"},
};

enum class Column {
  kRecord,
  kName,
  kGroup,
  kRegion,
  kDataCentre,
  kAddress,
  kSlots,
  kConnections,
  kMaxAge,
  kRepeatable,
  kShare,
};

constexpr EnumName<Column> kColumnNames[] = {
    {Column::kRecord, "record"},
    {Column::kName, "name"},
    {Column::kGroup, "group"},
    {Column::kRegion, "region"},
    {Column::kDataCentre, "data_centre"},
    {Column::kAddress, "address"},
    {Column::kSlots, "slots"},
    {Column::kConnections, "connections"},
    {Column::kMaxAge, "max_age"},
    {Column::kRepeatable, "repeatable"},
    {Column::kShare, "share"},
};
constexpr size_t kColumnCount = std::size(kColumnNames);

using ColumnSet = std::set<Column>;

// Returns the columns in which a row of this kind must have a value, besides
// `record` and `name`. All other columns must be empty.
const ColumnSet& ColumnsOf(Record record) {
  static const ColumnSet kGroupColumns = {Column::kRegion};
  static const ColumnSet kTargetColumns = {Column::kGroup, Column::kDataCentre,
                                           Column::kAddress, Column::kSlots,
                                           Column::kConnections};
  static const ColumnSet kReadColumns = {Column::kMaxAge};
  static const ColumnSet kRequestColumns = {Column::kRepeatable};
  static const ColumnSet kCallerColumns = {Column::kShare};
  switch (record) {
    case Record::kGroup:
      return kGroupColumns;
    case Record::kTarget:
      return kTargetColumns;
    case Record::kRead:
      return kReadColumns;
    case Record::kRequest:
      return kRequestColumns;
    case Record::kCaller:
      break;
  }
  return kCallerColumns;
}

struct CsvRow {
  uint32_t number = 0;  // 1 is the header row.
  std::vector<std::string> fields;
};

struct CsvText {
  std::vector<CsvRow> rows;  // Without empty rows.
  // The row with bad quotes at which reading stopped, if any.
  std::optional<uint32_t> misquoted_row;
};

// Collects the rows that libcsv reports through callbacks. Empty lines are
// counted in the row numbers, as in a spreadsheet.
class RowCollector {
 public:
  void AddField(const void* text, size_t size) {
    m_row.fields.emplace_back(static_cast<const char*>(text), size);
    m_last_terminator = 0;
  }

  void EndRow(int terminator) {
    if (terminator == '\n' && m_last_terminator == '\r') {
      m_last_terminator = terminator;  // Second character of "\r\n".
      return;
    }
    m_last_terminator = terminator;
    CsvRow row = std::exchange(m_row, CsvRow{m_row.number + 1, {}});
    const bool empty =
        std::all_of(row.fields.begin(), row.fields.end(),
                    [](const std::string& field) { return field.empty(); });
    if (!empty) {
      m_rows.push_back(std::move(row));
    }
  }

  uint32_t CurrentRow() const { return m_row.number; }
  std::vector<CsvRow> TakeRows() { return std::move(m_rows); }

 private:
  CsvRow m_row = {1, {}};
  int m_last_terminator = 0;
  std::vector<CsvRow> m_rows;
};

void OnCsvField(void* text, size_t size, void* collector) {
  static_cast<RowCollector*>(collector)->AddField(text, size);
}

void OnCsvRowEnd(int terminator, void* collector) {
  static_cast<RowCollector*>(collector)->EndRow(terminator);
}

CsvText ReadRows(absl::string_view csv) {
  RowCollector collector;
  csv_parser parser;
  CsvText text;
  csv_init(&parser, CSV_STRICT | CSV_STRICT_FINI | CSV_REPALL_NL);
  const size_t read = csv_parse(&parser, csv.data(), csv.size(), OnCsvField,
                                OnCsvRowEnd, &collector);
  if (read != csv.size() ||
      csv_fini(&parser, OnCsvField, OnCsvRowEnd, &collector) != 0) {
    text.misquoted_row = collector.CurrentRow();
  }
  csv_free(&parser);
  text.rows = collector.TakeRows();
  return text;
}

std::string JoinNames(const ColumnSet& columns) {
  std::string names;
  for (const Column column : columns) {
    absl::StrAppend(&names, names.empty() ? "" : ", ",
                    NameOf(kColumnNames, column));
  }
  return names;
}

bool IsName(absl::string_view text) {
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return absl::ascii_isalnum(static_cast<unsigned char>(c)) ||
                  c == '-' || c == '_' || c == '.';
         });
}

// Whether the text has the form IP:port. An IPv6 address is put in brackets.
bool IsAddress(absl::string_view text) {
  const size_t colon = text.rfind(':');
  uint32_t port = 0;
  if (colon == text.npos || !absl::SimpleAtoi(text.substr(colon + 1), &port) ||
      port == 0 || port > 65535) {
    return false;
  }
  std::string host(text.substr(0, colon));
  std::array<unsigned char, sizeof(in6_addr)> parsed = {};
  if (absl::StartsWith(host, "[") && absl::EndsWith(host, "]")) {
    host = host.substr(1, host.size() - 2);
    return inet_pton(AF_INET6, host.c_str(), parsed.data()) == 1;
  }
  return inet_pton(AF_INET, host.c_str(), parsed.data()) == 1;
}

class Parser {
 public:
  ParsedSheet Parse(absl::string_view csv);

 private:
  struct TargetLocation {
    TargetId id;
    uint32_t row = 0;
  };

  // Returns the value of a column in this row. Returns null if the header lacks
  // the column; that mistake is reported for the header row.
  const std::string* Field(const CsvRow& row, Column column) const;
  bool HasColumn(Column column) const {
    return m_column_indexes[static_cast<size_t>(column)].has_value();
  }

  void AddMistake(uint32_t row, absl::string_view column, std::string message);
  void AddMistake(const CsvRow& row, Column column, std::string message) {
    AddMistake(row.number, NameOf(kColumnNames, column), std::move(message));
  }

  void ReadHeader(const CsvRow& row);
  void ReadRow(const CsvRow& row);
  // Reports columns that are empty although the record needs them, and columns
  // that have a value although the record does not use them.
  void CheckColumns(const CsvRow& row, Record record);
  bool ReadName(const CsvRow& row, Record record, std::string* name);
  void ReadGroup(const CsvRow& row, const std::string& name);
  void ReadTarget(const CsvRow& row, const std::string& name);
  void ReadReadKind(const CsvRow& row, const std::string& name);
  void ReadRequestKind(const CsvRow& row, const std::string& name);
  void ReadCaller(const CsvRow& row, const std::string& name);

  // These functions report invalid values. Missing values are reported by
  // CheckColumns only.
  std::string ReadText(const CsvRow& row, Column column);
  std::optional<uint32_t> ReadNumber(const CsvRow& row,
                                     Column column,
                                     uint32_t min,
                                     uint32_t max);
  void ReadLimits(const CsvRow& row, TargetRow* target);
  void ReadAddress(const CsvRow& row, TargetRow* target);

  void CheckWholeSheet();
  void CheckGroup(const GroupName& name, uint32_t row);

  std::array<std::optional<size_t>, kColumnCount> m_column_indexes;
  size_t m_header_fields = 0;
  std::vector<SheetMistake> m_mistakes;
  Sheet m_sheet;
  // Number of the first row with each name, by record.
  std::map<Record, std::map<std::string, uint32_t>> m_names;
  std::map<std::string, TargetLocation> m_addresses;
  // Records that have at least one row, valid or not.
  std::set<Record> m_seen_records;
  // Groups with a target row whose name is missing or taken. Their targets
  // can't be counted reliably.
  std::set<GroupName> m_groups_with_misnamed_targets;
  // Targets of each group that is named by a target row, in the sheet's order.
  std::map<GroupName, std::vector<TargetLocation>> m_targets_of_group;
};

void Parser::AddMistake(uint32_t row,
                        absl::string_view column,
                        std::string message) {
  m_mistakes.push_back({row, std::string(column), std::move(message)});
}

const std::string* Parser::Field(const CsvRow& row, Column column) const {
  static const std::string kEmpty;
  const std::optional<size_t>& index =
      m_column_indexes[static_cast<size_t>(column)];
  if (!index) {
    return nullptr;
  }
  return *index < row.fields.size() ? &row.fields[*index] : &kEmpty;
}

void Parser::ReadHeader(const CsvRow& row) {
  m_header_fields = row.fields.size();
  for (size_t i = 0; i < row.fields.size(); ++i) {
    const std::string& name = row.fields[i];
    const std::optional<Column> column = ValueOf(kColumnNames, name);
    if (!column) {
      AddMistake(row.number, name,
                 absl::StrCat("column \"", name,
                              "\" is unknown; use the columns record, name, "
                              "group, region, data_centre, address, slots, "
                              "connections, max_age, repeatable and share, "
                              "separated by commas"));
    } else if (HasColumn(*column)) {
      AddMistake(row, *column,
                 "the column occurs twice; remove one of the two");
    } else {
      m_column_indexes[static_cast<size_t>(*column)] = i;
    }
  }
  for (const EnumName<Column>& column : kColumnNames) {
    if (!HasColumn(column.value)) {
      AddMistake(row, column.value,
                 "the column is missing; add it to the header row");
    }
  }
}

void Parser::ReadRow(const CsvRow& row) {
  if (row.fields.size() > m_header_fields) {
    AddMistake(row.number, "",
               absl::StrCat("the row has ", row.fields.size(),
                            " fields and the header row ", m_header_fields,
                            "; remove the extra fields, or put values with "
                            "commas in double quotes"));
  }
  const std::string* kind = Field(row, Column::kRecord);
  const std::optional<Record> record =
      kind == nullptr ? std::nullopt : ValueOf(kRecordNames, *kind);
  if (!record) {
    if (kind != nullptr) {
      AddMistake(row, Column::kRecord,
                 absl::StrCat("record \"", *kind,
                              "\" is unknown; use group, target, read, "
                              "request or caller"));
    }
    return;
  }
  m_seen_records.insert(*record);
  CheckColumns(row, *record);
  std::string name;
  if (!ReadName(row, *record, &name)) {
    if (*record == Record::kTarget && HasColumn(Column::kGroup)) {
      m_groups_with_misnamed_targets.insert(*Field(row, Column::kGroup));
    }
    return;
  }
  switch (*record) {
    case Record::kGroup:
      return ReadGroup(row, name);
    case Record::kTarget:
      return ReadTarget(row, name);
    case Record::kRead:
      return ReadReadKind(row, name);
    case Record::kRequest:
      return ReadRequestKind(row, name);
    case Record::kCaller:
      return ReadCaller(row, name);
  }
}

void Parser::CheckColumns(const CsvRow& row, Record record) {
  const absl::string_view record_name = NameOf(kRecordNames, record);
  const ColumnSet& used = ColumnsOf(record);
  for (const EnumName<Column>& column : kColumnNames) {
    const std::string* field = Field(row, column.value);
    if (field == nullptr || column.value == Column::kRecord) {
      continue;
    }
    const bool needed =
        column.value == Column::kName || used.count(column.value) > 0;
    if (needed && field->empty()) {
      AddMistake(row, column.value,
                 absl::StrCat("the value is missing; a ", record_name,
                              " row needs name, ", JoinNames(used)));
    } else if (!needed && !field->empty()) {
      AddMistake(row, column.value,
                 absl::StrCat("a ", record_name,
                              " row does not use this column; empty it, or "
                              "move \"",
                              *field, "\" to its own column"));
    }
  }
}

bool Parser::ReadName(const CsvRow& row, Record record, std::string* name) {
  *name = ReadText(row, Column::kName);
  if (name->empty()) {
    return false;
  }
  const auto [first, inserted] = m_names[record].emplace(*name, row.number);
  if (!inserted) {
    AddMistake(row, Column::kName,
               absl::StrCat("the ", NameOf(kRecordNames, record), " \"", *name,
                            "\" is already defined in row ", first->second,
                            "; rename or remove one of the two"));
    return false;
  }
  return true;
}

std::string Parser::ReadText(const CsvRow& row, Column column) {
  const std::string* field = Field(row, column);
  if (field == nullptr || field->empty()) {
    return "";
  }
  if (!IsName(*field)) {
    AddMistake(
        row, column,
        absl::StrCat("\"", *field, "\" is not a valid name; use 1 to ",
                     kMaxNameBytes, " letters, digits, '-', '_' and '.'"));
  }
  return *field;
}

std::optional<uint32_t> Parser::ReadNumber(const CsvRow& row,
                                           Column column,
                                           uint32_t min,
                                           uint32_t max) {
  const std::string* field = Field(row, column);
  if (field == nullptr || field->empty()) {
    return std::nullopt;
  }
  uint32_t number = 0;
  if (!absl::SimpleAtoi(*field, &number) || number < min || number > max) {
    AddMistake(row, column,
               absl::StrCat("\"", *field,
                            "\" is not in range; use a whole number from ", min,
                            " to ", max));
    return std::nullopt;
  }
  return number;
}

void Parser::ReadGroup(const CsvRow& row, const std::string& name) {
  m_sheet.groups[name] = {name, ReadText(row, Column::kRegion), {}};
}

void Parser::ReadLimits(const CsvRow& row, TargetRow* target) {
  const auto slots = ReadNumber(row, Column::kSlots, 1, kMaxConnections);
  const auto connections =
      ReadNumber(row, Column::kConnections, kMinConnections, kMaxConnections);
  if (slots && connections && *slots > *connections) {
    AddMistake(
        row, Column::kSlots,
        absl::StrCat(*slots, " slots need as many connections, but only ",
                     *connections,
                     " are allowed; lower slots or raise connections"));
  }
  target->slots = slots.value_or(0);
  target->connections = connections.value_or(0);
}

void Parser::ReadAddress(const CsvRow& row, TargetRow* target) {
  const std::string* field = Field(row, Column::kAddress);
  if (field == nullptr || field->empty()) {
    return;
  }
  target->address = *field;
  if (!IsAddress(*field)) {
    AddMistake(row, Column::kAddress,
               absl::StrCat("\"", *field,
                            "\" is not an address; write IP:port, such as "
                            "10.0.0.7:5432 or [fd00::7]:5432"));
    return;
  }
  const auto [first, inserted] =
      m_addresses.emplace(*field, TargetLocation{target->id, row.number});
  if (!inserted) {
    AddMistake(row, Column::kAddress,
               absl::StrCat("target ", first->second.id, " in row ",
                            first->second.row, " has the address ", *field,
                            " too; give each target its own"));
  }
}

void Parser::ReadTarget(const CsvRow& row, const std::string& name) {
  TargetRow target;
  target.id = name;
  target.group = ReadText(row, Column::kGroup);
  target.data_centre = ReadText(row, Column::kDataCentre);
  ReadAddress(row, &target);
  ReadLimits(row, &target);
  if (!target.group.empty()) {
    m_targets_of_group[target.group].push_back({name, row.number});
  }
  m_sheet.targets[name] = std::move(target);
}

void Parser::ReadReadKind(const CsvRow& row, const std::string& name) {
  const std::string* field = Field(row, Column::kMaxAge);
  ReadKindRow kind{name, absl::ZeroDuration()};
  if (field != nullptr && !field->empty() &&
      (!absl::ParseDuration(*field, &kind.max_age) ||
       kind.max_age < absl::ZeroDuration() || kind.max_age > kMaxReadAge)) {
    AddMistake(row, Column::kMaxAge,
               absl::StrCat("\"", *field,
                            "\" is not a duration from 0 to 24h; write it "
                            "with units, such as 250ms, 5s or 1m30s, or 0 "
                            "for current data only"));
  }
  m_sheet.read_kinds[name] = std::move(kind);
}

void Parser::ReadRequestKind(const CsvRow& row, const std::string& name) {
  const std::string* field = Field(row, Column::kRepeatable);
  if (field != nullptr && !field->empty() && *field != "yes" &&
      *field != "no") {
    AddMistake(row, Column::kRepeatable,
               absl::StrCat("\"", *field,
                            "\" is neither yes nor no; write no "
                            "for requests that must never run twice"));
  }
  m_sheet.request_kinds[name] = {name, field != nullptr && *field == "yes"};
}

void Parser::ReadCaller(const CsvRow& row, const std::string& name) {
  const auto share = ReadNumber(row, Column::kShare, 1, kMaxShare);
  m_sheet.callers[name] = {name, share.value_or(0)};
}

void Parser::CheckGroup(const GroupName& name, uint32_t row) {
  if (m_groups_with_misnamed_targets.count(name) > 0) {
    return;
  }
  const auto found = m_targets_of_group.find(name);
  const size_t count =
      found == m_targets_of_group.end() ? 0 : found->second.size();
  if (count == 0) {
    AddMistake(row, "name",
               absl::StrCat("group ", name,
                            " has no targets; add target rows that name it, "
                            "or remove the group"));
  } else if (count % 2 == 0) {
    // A majority of 2n targets is n + 1. The group therefore tolerates no more
    // failures than with 2n - 1 targets, but needs one more copy of the data.
    AddMistake(row, "name",
               absl::StrCat("group ", name, " has ", count,
                            " targets; add or remove one, so that a majority "
                            "exists when the group splits"));
  }
}

void Parser::CheckWholeSheet() {
  for (const auto& [group, row] : m_names[Record::kGroup]) {
    CheckGroup(group, row);
  }
  for (const auto& [group, targets] : m_targets_of_group) {
    if (m_names[Record::kGroup].count(group) > 0) {
      for (const TargetLocation& target : targets) {
        m_sheet.groups[group].targets.push_back(target.id);
      }
      continue;
    }
    for (const TargetLocation& target : targets) {
      AddMistake(target.row, "group",
                 absl::StrCat("group \"", group, "\" of target ", target.id,
                              " is unknown; add a group row for it or correct "
                              "the name"));
    }
  }
  if (m_seen_records.count(Record::kGroup) == 0) {
    AddMistake(0, "", "the sheet has no group; add a group row");
  }
  if (m_seen_records.count(Record::kCaller) == 0) {
    AddMistake(0, "",
               "the sheet has no caller, so nobody could send requests; add a "
               "caller row");
  }
}

ParsedSheet Parser::Parse(absl::string_view csv) {
  if (absl::StartsWith(csv, kByteOrderMark)) {
    csv.remove_prefix(kByteOrderMark.size());
  }
  if (csv.size() > kMaxSheetBytes) {
    AddMistake(0, "",
               absl::StrCat("the sheet has ", csv.size(),
                            " bytes, more than the limit of ", kMaxSheetBytes,
                            "; shorten names or remove unused rows"));
    return std::move(m_mistakes);
  }
  const CsvText text = ReadRows(csv);
  if (!text.rows.empty()) {
    ReadHeader(text.rows.front());
  }
  const bool readable = HasColumn(Column::kRecord) && HasColumn(Column::kName);
  for (size_t i = 1; readable && i < text.rows.size(); ++i) {
    ReadRow(text.rows[i]);
  }
  if (text.misquoted_row) {
    AddMistake(*text.misquoted_row, "",
               "the double quotes do not match, and the rows from here on "
               "were not read; close each quoted value and double the quotes "
               "inside it");
  } else if (text.rows.empty()) {
    AddMistake(0, "", "the sheet is empty; begin it with the header row");
  } else if (readable) {
    CheckWholeSheet();
  }
  if (m_mistakes.empty()) {
    return std::move(m_sheet);
  }
  std::stable_sort(m_mistakes.begin(), m_mistakes.end(),
                   [](const SheetMistake& left, const SheetMistake& right) {
                     return left.row < right.row;
                   });
  return std::move(m_mistakes);
}

}  // namespace

ParsedSheet ParseSheet(absl::string_view csv) {
  return Parser().Parse(csv);
}

}  // namespace heatherwick
