// Compares rows by the values that they have in each column.

#include "Source/decision/sheet_diff.h"

#include <map>
#include <set>
#include <utility>

#include "Source/base/enum_table.h"
#include "absl/strings/str_cat.h"

namespace heatherwick {

namespace {

constexpr EnumName<RowChange> kChangeNames[] = {
    {RowChange::kAdded, "added"},
    {RowChange::kRemoved, "removed"},
    {RowChange::kChanged, "changed"},
};

// Column and value; rows of the same record have the same columns.
using Values = std::vector<std::pair<std::string, std::string>>;

// A group's list of targets follows from the target rows.
Values ValuesOf(const GroupRow& row) {
  return {{"region", row.region}};
}

Values ValuesOf(const TargetRow& row) {
  return {{"group", row.group},
          {"data_centre", row.data_centre},
          {"address", row.address},
          {"slots", absl::StrCat(row.slots)},
          {"connections", absl::StrCat(row.connections)}};
}

Values ValuesOf(const ReadKindRow& row) {
  return {{"max_age", absl::FormatDuration(row.max_age)}};
}

Values ValuesOf(const RequestKindRow& row) {
  return {{"repeatable", row.repeatable ? "yes" : "no"}};
}

Values ValuesOf(const CallerRow& row) {
  return {{"share", absl::StrCat(row.share)}};
}

RowDifference WholeRow(RowChange change, const Values& values) {
  RowDifference difference;
  difference.change = change;
  for (const auto& [column, value] : values) {
    const bool added = change == RowChange::kAdded;
    difference.values.push_back(
        {column, added ? "" : value, added ? value : ""});
  }
  return difference;
}

RowDifference ChangedRow(const Values& before, const Values& after) {
  RowDifference difference;
  for (size_t i = 0; i < before.size(); ++i) {
    if (before[i].second != after[i].second) {
      difference.values.push_back(
          {before[i].first, before[i].second, after[i].second});
    }
  }
  return difference;
}

template <typename Row>
void DiffRecord(const char* record,
                const std::map<std::string, Row>& before,
                const std::map<std::string, Row>& after,
                std::vector<RowDifference>* differences) {
  std::set<std::string> names;
  for (const auto& row : before) {
    names.insert(row.first);
  }
  for (const auto& row : after) {
    names.insert(row.first);
  }
  for (const std::string& name : names) {
    const auto old_row = before.find(name);
    const auto new_row = after.find(name);
    RowDifference difference;
    if (old_row == before.end()) {
      difference = WholeRow(RowChange::kAdded, ValuesOf(new_row->second));
    } else if (new_row == after.end()) {
      difference = WholeRow(RowChange::kRemoved, ValuesOf(old_row->second));
    } else {
      difference =
          ChangedRow(ValuesOf(old_row->second), ValuesOf(new_row->second));
      if (difference.values.empty()) {
        continue;
      }
    }
    difference.record = record;
    difference.name = name;
    differences->push_back(std::move(difference));
  }
}

}  // namespace

absl::string_view RowChangeName(RowChange change) {
  return NameOf(kChangeNames, change);
}

std::vector<RowDifference> DiffSheets(const Sheet& before, const Sheet& after) {
  std::vector<RowDifference> differences;
  DiffRecord("group", before.groups, after.groups, &differences);
  DiffRecord("target", before.targets, after.targets, &differences);
  DiffRecord("read", before.read_kinds, after.read_kinds, &differences);
  DiffRecord("request", before.request_kinds, after.request_kinds,
             &differences);
  DiffRecord("caller", before.callers, after.callers, &differences);
  return differences;
}

}  // namespace heatherwick
