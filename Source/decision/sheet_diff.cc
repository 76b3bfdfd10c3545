// Compares the rows of two sheets column by column.

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

// Pairs of column and value. Rows of the same record have the same columns.
using ColumnValues = std::vector<std::pair<std::string, std::string>>;

// A group's list of targets is left out, because it follows from the target
// rows.
ColumnValues GetColumnValues(const GroupRow& row) {
  return {{"region", row.region}};
}

ColumnValues GetColumnValues(const TargetRow& row) {
  return {{"group", row.group},
          {"data_centre", row.data_centre},
          {"address", row.address},
          {"slots", absl::StrCat(row.slots)},
          {"connections", absl::StrCat(row.connections)}};
}

ColumnValues GetColumnValues(const ReadKindRow& row) {
  return {{"max_age", absl::FormatDuration(row.max_age)}};
}

ColumnValues GetColumnValues(const RequestKindRow& row) {
  return {{"repeatable", row.repeatable ? "yes" : "no"}};
}

ColumnValues GetColumnValues(const CallerRow& row) {
  return {{"share", absl::StrCat(row.share)}};
}

RowDifference MakeAddedOrRemovedRow(RowChange change,
                                    const ColumnValues& values) {
  RowDifference difference;
  difference.change = change;
  for (const auto& [column, value] : values) {
    const bool added = change == RowChange::kAdded;
    difference.values.push_back(
        {column, added ? "" : value, added ? value : ""});
  }
  return difference;
}

RowDifference MakeChangedRow(const ColumnValues& before,
                             const ColumnValues& after) {
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
void DiffRows(const char* record,
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
      difference = MakeAddedOrRemovedRow(RowChange::kAdded,
                                         GetColumnValues(new_row->second));
    } else if (new_row == after.end()) {
      difference = MakeAddedOrRemovedRow(RowChange::kRemoved,
                                         GetColumnValues(old_row->second));
    } else {
      difference = MakeChangedRow(GetColumnValues(old_row->second),
                                  GetColumnValues(new_row->second));
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
  DiffRows("group", before.groups, after.groups, &differences);
  DiffRows("target", before.targets, after.targets, &differences);
  DiffRows("read", before.read_kinds, after.read_kinds, &differences);
  DiffRows("request", before.request_kinds, after.request_kinds, &differences);
  DiffRows("caller", before.callers, after.callers, &differences);
  return differences;
}

}  // namespace heatherwick
