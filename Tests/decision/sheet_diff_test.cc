// Tests the difference of two sheets, which operators use to merge changes.

#include "Source/decision/sheet_diff.h"

#include "doctest/doctest.h"

namespace heatherwick {
namespace {

class SheetDiffFixture {
 protected:
  SheetDiffFixture() {
    m_before.groups["g"] = {"g", "r", {"t1", "t2"}};
    m_before.targets["t1"] = {"t1", "g", "dc1", "127.0.0.1:1", 2, 16};
    m_before.read_kinds["browse"] = {"browse", absl::Seconds(5)};
    m_before.request_kinds["order"] = {"order", false};
    m_before.callers["c"] = {"c", 3};
    m_after = m_before;
  }

  Sheet m_before;
  Sheet m_after;
};

TEST_CASE_FIXTURE(SheetDiffFixture, "DiffSheets_SameRows_IsEmpty") {
  m_after.groups["g"].targets = {"t2", "t1"};
  CHECK(DiffSheets(m_before, m_after).empty());
}

// Guards against changes that are missing from the difference. The test changes
// one value in each record kind.
TEST_CASE_FIXTURE(SheetDiffFixture,
                  "DiffSheets_OneValuePerRecordChanged_IsShown") {
  m_after.groups["g"] = {"g", "s", {"t1", "t2"}};
  m_after.targets["t1"].slots = 3;
  m_after.read_kinds["browse"].max_age = absl::Seconds(9);
  m_after.request_kinds["order"].repeatable = true;
  m_after.callers["c"].share = 4;
  const std::vector<RowDifference> expected = {
      {RowChange::kChanged, "group", "g", {{"region", "r", "s"}}},
      {RowChange::kChanged, "target", "t1", {{"slots", "2", "3"}}},
      {RowChange::kChanged, "read", "browse", {{"max_age", "5s", "9s"}}},
      {RowChange::kChanged, "request", "order", {{"repeatable", "no", "yes"}}},
      {RowChange::kChanged, "caller", "c", {{"share", "3", "4"}}}};
  CHECK(DiffSheets(m_before, m_after) == expected);
}

TEST_CASE_FIXTURE(SheetDiffFixture,
                  "DiffSheets_RowOnOneSide_IsAddedOrRemoved") {
  m_after.callers.erase("c");
  m_after.callers["d"] = {"d", 1};
  const std::vector<RowDifference> expected = {
      {RowChange::kRemoved, "caller", "c", {{"share", "3", ""}}},
      {RowChange::kAdded, "caller", "d", {{"share", "", "1"}}}};
  CHECK(DiffSheets(m_before, m_after) == expected);
}

}  // namespace
}  // namespace heatherwick
