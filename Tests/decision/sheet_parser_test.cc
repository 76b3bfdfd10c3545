// Tests the reading of sheets: operators must see every mistake at once,
// and a sheet without mistakes must become exactly the configuration it
// states.

#include "Source/decision/sheet_parser.h"

#include <set>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "doctest/doctest.h"

namespace heatherwick {
namespace {

constexpr char kGoodSheet[] =
    "record,name,group,region,data_centre,address,slots,connections,max_age,"
    "repeatable,share\n"
    "group,boot-core-1,,ro-central,,,,,,,\n"
    "target,b1a,boot-core-1,,dc1,127.0.0.1:7001,2,16,,,\n"
    "target,b1b,boot-core-1,,dc2,127.0.0.1:7002,2,16,,,\n"
    "target,b1c,boot-core-1,,dc3,[::1]:7003,2,16,,,\n"
    "read,browsing,,,,,,,5s,,\n"
    "request,order,,,,,,,,no,\n"
    "caller,stiefel,,,,,,,,,3\n";

class SheetParserFixture {
 protected:
  using Places = std::set<std::pair<uint32_t, std::string>>;

  // The good sheet with `from` replaced.
  static std::string Changed(const char* from, const char* to) {
    return absl::StrReplaceAll(kGoodSheet, {{from, to}});
  }

  static Places MistakesOf(const std::string& csv) {
    const ParsedSheet parsed = ParseSheet(csv);
    Places places;
    if (parsed.index() == 1) {
      for (const SheetMistake& mistake : std::get<1>(parsed)) {
        // Cause and remedy are separated by a semicolon.
        CHECK(mistake.message.find("; ") != std::string::npos);
        places.emplace(mistake.row, mistake.column);
      }
    }
    return places;
  }
};

TEST_CASE_FIXTURE(SheetParserFixture, "SheetParser_GoodSheet_AllRowsAreKept") {
  const ParsedSheet parsed = ParseSheet(kGoodSheet);
  REQUIRE(parsed.index() == 0);
  const Sheet& sheet = std::get<0>(parsed);
  CHECK(sheet.groups.at("boot-core-1") ==
        GroupRow{"boot-core-1", "ro-central", {"b1a", "b1b", "b1c"}});
  CHECK(sheet.targets.at("b1b") ==
        TargetRow{"b1b", "boot-core-1", "dc2", "127.0.0.1:7002", 2, 16});
  CHECK(sheet.read_kinds.at("browsing").max_age == absl::Seconds(5));
  CHECK(!sheet.request_kinds.at("order").repeatable);
  CHECK(sheet.callers.at("stiefel").share == 3);
}

// Guards against a reader that depends on one program's export: byte order
// mark, line ends of two characters, blank rows, quotes, other column order.
TEST_CASE_FIXTURE(SheetParserFixture,
                  "SheetParser_SpreadsheetExport_IsReadAlike") {
  const std::string exported = absl::StrCat(
      "\xef\xbb\xbf",
      absl::StrReplaceAll(
          kGoodSheet,
          {{"\n", "\r\n"}, {"read,", "\n,,,\nread,"}, {"5s", "\"5s\""}}));
  const ParsedSheet parsed = ParseSheet(exported);
  REQUIRE(parsed.index() == 0);
  CHECK(std::get<0>(parsed) == std::get<0>(ParseSheet(kGoodSheet)));
}

// Guards against row numbers that differ from the spreadsheet's when empty
// lines or line ends of two characters occur.
TEST_CASE_FIXTURE(SheetParserFixture,
                  "SheetParser_EmptyLinesBeforeMistake_RowNumberCountsThem") {
  const std::string csv = absl::StrReplaceAll(
      kGoodSheet, {{"caller,", "\n\ncaller,"}, {",3\n", ",0\n"}});
  CHECK(MistakesOf(csv) == Places{{10, "share"}});
  CHECK(MistakesOf(absl::StrReplaceAll(csv, {{"\n", "\r\n"}})) ==
        Places{{10, "share"}});
}

// Guards against a check that stops at its first mistake.
TEST_CASE_FIXTURE(SheetParserFixture,
                  "SheetParser_MistakeInEachRow_AllAreReported") {
  const std::string csv = absl::StrReplaceAll(
      kGoodSheet, {{"7001,2,16", "7001,17,16"},
                   {"7002,2,16", "7002,two,3"},
                   {"[::1]:7003", "db.example:7003"},
                   {"5s", "5"},
                   {",no,", ",never,"},
                   {"stiefel,,,,,,,,,3", "Cizme SRL,,,,,,,,,0"}});
  CHECK(MistakesOf(csv) == Places{{3, "slots"},
                                  {4, "slots"},
                                  {4, "connections"},
                                  {5, "address"},
                                  {6, "max_age"},
                                  {7, "repeatable"},
                                  {8, "name"},
                                  {8, "share"}});
}

TEST_CASE_FIXTURE(SheetParserFixture,
                  "SheetParser_UnknownColumnOrRecord_IsReported") {
  CHECK(MistakesOf(Changed(",share\n", ",weight\n")) ==
        Places{{1, "weight"}, {1, "share"}});
  CHECK(MistakesOf(Changed(",share\n", ",share,share\n")) ==
        Places{{1, "share"}});
  CHECK(MistakesOf(Changed("read,", "reed,")) == Places{{6, "record"}});
  CHECK(MistakesOf(Changed(",", ";")).count({1, "record"}) == 1);
}

TEST_CASE_FIXTURE(SheetParserFixture,
                  "SheetParser_MissingOrMisplacedValue_IsReported") {
  CHECK(MistakesOf(
            Changed("boot-core-1,,ro-central", "boot-core-1,ro-central,")) ==
        Places{{2, "group"}, {2, "region"}});
  CHECK(MistakesOf(Changed("caller,stiefel", "caller,")) ==
        Places{{8, "name"}});
  CHECK(MistakesOf(Changed(",3\n", ",3,4\n")) == Places{{8, ""}});
}

// Guards against sheets that would give two homes more connections than a
// target allows, or a home none at all.
TEST_CASE_FIXTURE(SheetParserFixture,
                  "SheetParser_ThreeConnections_AreRefused") {
  CHECK(MistakesOf(Changed("7001,2,16", "7001,2,4")).empty());
  CHECK(MistakesOf(Changed("7001,2,16", "7001,2,3")) ==
        Places{{3, "connections"}});
}

// Guards against groups whose majority rule would not hold.
TEST_CASE_FIXTURE(SheetParserFixture,
                  "SheetParser_GroupsAndTargetsDoNotMatch_IsReported") {
  CHECK(MistakesOf(Changed("b1c,boot-core-1", "b1c,boot-core-2")) ==
        Places{{2, "name"}, {5, "group"}});
  CHECK(MistakesOf(Changed("read,", "group,g2,,r,,,,,,,\nread,")) ==
        Places{{6, "name"}});
  CHECK(MistakesOf(Changed("[::1]:7003", "127.0.0.1:7001")) ==
        Places{{5, "address"}});
  CHECK(MistakesOf(Changed("target,b1b", "target,b1a")) == Places{{4, "name"}});
}

TEST_CASE_FIXTURE(SheetParserFixture, "SheetParser_NothingInside_IsReported") {
  CHECK(MistakesOf("") == Places{{0, ""}});
  CHECK(MistakesOf(Changed("caller,stiefel,,,,,,,,,3\n", "")) ==
        Places{{0, ""}});
}

// Guards against an accepted sheet that no instance can fetch, because it
// exceeds the size of a message.
TEST_CASE_FIXTURE(SheetParserFixture, "SheetParser_LargerThanLimit_IsRefused") {
  std::string csv = kGoodSheet;
  csv.append((size_t{3} << 20) - csv.size(), '\n');
  CHECK(MistakesOf(csv).empty());
  csv += '\n';
  CHECK(MistakesOf(csv) == Places{{0, ""}});
}

// Guards against half a sheet being taken for the whole one after an open
// quote, and against follow-up mistakes about rows that were not read.
TEST_CASE_FIXTURE(SheetParserFixture,
                  "SheetParser_OpenQuote_IsReportedAtItsRowAlone") {
  CHECK(MistakesOf(Changed("b1c", "\"b1c")) == Places{{5, ""}});
  CHECK(MistakesOf(Changed("b1c", "b\"1c")) == Places{{5, ""}});
}

}  // namespace
}  // namespace heatherwick
