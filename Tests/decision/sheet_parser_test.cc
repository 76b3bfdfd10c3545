// Tests the parsing of sheets: operators must see every mistake at once, and a
// sheet without mistakes must be parsed to exactly the configuration that its
// text describes.

#include "Source/decision/sheet_parser.h"

#include <set>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "doctest/doctest.h"

namespace heatherwick {
namespace {

constexpr char kValidSheet[] =
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
  using Locations = std::set<std::pair<uint32_t, std::string>>;

  // Returns the valid sheet with `from` replaced by `to`.
  static std::string ReplaceInValidSheet(const char* from, const char* to) {
    return absl::StrReplaceAll(kValidSheet, {{from, to}});
  }

  static Locations FindMistakes(const std::string& csv) {
    const ParsedSheet parsed = ParseSheet(csv);
    Locations locations;
    if (parsed.index() == 1) {
      for (const SheetMistake& mistake : std::get<1>(parsed)) {
        // Cause and remedy are separated by a semicolon.
        CHECK(mistake.message.find("; ") != std::string::npos);
        locations.emplace(mistake.row, mistake.column);
      }
    }
    return locations;
  }
};

TEST_CASE_FIXTURE(SheetParserFixture, "SheetParser_ValidSheet_AllRowsAreKept") {
  const ParsedSheet parsed = ParseSheet(kValidSheet);
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

// Guards against a parser that only reads the export of one spreadsheet
// program. The test has a byte order mark, line ends of two characters, blank
// rows and quotes.
TEST_CASE_FIXTURE(SheetParserFixture,
                  "SheetParser_SpreadsheetExport_GivesSameSheet") {
  const std::string exported = absl::StrCat(
      "\xef\xbb\xbf",
      absl::StrReplaceAll(
          kValidSheet,
          {{"\n", "\r\n"}, {"read,", "\n,,,\nread,"}, {"5s", "\"5s\""}}));
  const ParsedSheet parsed = ParseSheet(exported);
  REQUIRE(parsed.index() == 0);
  CHECK(std::get<0>(parsed) == std::get<0>(ParseSheet(kValidSheet)));
}

// Guards against row numbers that differ from those in the spreadsheet when
// there are empty lines or line ends of two characters.
TEST_CASE_FIXTURE(SheetParserFixture,
                  "SheetParser_EmptyLinesBeforeMistake_RowNumberCountsThem") {
  const std::string csv = absl::StrReplaceAll(
      kValidSheet, {{"caller,", "\n\ncaller,"}, {",3\n", ",0\n"}});
  CHECK(FindMistakes(csv) == Locations{{10, "share"}});
  CHECK(FindMistakes(absl::StrReplaceAll(csv, {{"\n", "\r\n"}})) ==
        Locations{{10, "share"}});
}

// Guards against a check that stops at the first mistake.
TEST_CASE_FIXTURE(SheetParserFixture,
                  "SheetParser_MistakeInEachRow_AllAreReported") {
  const std::string csv = absl::StrReplaceAll(
      kValidSheet, {{"7001,2,16", "7001,17,16"},
                    {"7002,2,16", "7002,two,3"},
                    {"[::1]:7003", "db.example:7003"},
                    {"5s", "5"},
                    {",no,", ",never,"},
                    {"stiefel,,,,,,,,,3", "Cizme SRL,,,,,,,,,0"}});
  CHECK(FindMistakes(csv) == Locations{{3, "slots"},
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
  CHECK(FindMistakes(ReplaceInValidSheet(",share\n", ",weight\n")) ==
        Locations{{1, "weight"}, {1, "share"}});
  CHECK(FindMistakes(ReplaceInValidSheet(",share\n", ",share,share\n")) ==
        Locations{{1, "share"}});
  CHECK(FindMistakes(ReplaceInValidSheet("read,", "reed,")) ==
        Locations{{6, "record"}});
  CHECK(FindMistakes(ReplaceInValidSheet(",", ";")).count({1, "record"}) == 1);
}

TEST_CASE_FIXTURE(SheetParserFixture,
                  "SheetParser_MissingOrMisplacedValue_IsReported") {
  CHECK(FindMistakes(ReplaceInValidSheet("boot-core-1,,ro-central",
                                         "boot-core-1,ro-central,")) ==
        Locations{{2, "group"}, {2, "region"}});
  CHECK(FindMistakes(ReplaceInValidSheet("caller,stiefel", "caller,")) ==
        Locations{{8, "name"}});
  CHECK(FindMistakes(ReplaceInValidSheet(",3\n", ",3,4\n")) ==
        Locations{{8, ""}});
}

// Guards against limits with which two homes would use more connections than a
// target allows, or a home could use none at all.
TEST_CASE_FIXTURE(SheetParserFixture,
                  "SheetParser_FewerThanFourConnections_IsReported") {
  CHECK(FindMistakes(ReplaceInValidSheet("7001,2,16", "7001,2,4")).empty());
  CHECK(FindMistakes(ReplaceInValidSheet("7001,2,16", "7001,2,3")) ==
        Locations{{3, "connections"}});
}

// Guards against groups in which the targets can't form a majority.
TEST_CASE_FIXTURE(SheetParserFixture,
                  "SheetParser_GroupsAndTargetsDoNotMatch_IsReported") {
  CHECK(
      FindMistakes(ReplaceInValidSheet("b1c,boot-core-1", "b1c,boot-core-2")) ==
      Locations{{2, "name"}, {5, "group"}});
  CHECK(FindMistakes(ReplaceInValidSheet(
            "read,", "group,g2,,r,,,,,,,\nread,")) == Locations{{6, "name"}});
  CHECK(FindMistakes(ReplaceInValidSheet("[::1]:7003", "127.0.0.1:7001")) ==
        Locations{{5, "address"}});
  CHECK(FindMistakes(ReplaceInValidSheet("target,b1b", "target,b1a")) ==
        Locations{{4, "name"}});
}

TEST_CASE_FIXTURE(SheetParserFixture,
                  "SheetParser_NoRowsOrNoCaller_IsReported") {
  CHECK(FindMistakes("") == Locations{{0, ""}});
  CHECK(FindMistakes(ReplaceInValidSheet("caller,stiefel,,,,,,,,,3\n", "")) ==
        Locations{{0, ""}});
}

// Guards against accepting a sheet that no instance can fetch because it
// exceeds the maximum size of a message.
TEST_CASE_FIXTURE(SheetParserFixture, "SheetParser_LargerThanLimit_IsRefused") {
  std::string csv = kValidSheet;
  csv.append((size_t{3} << 20) - csv.size(), '\n');
  CHECK(FindMistakes(csv).empty());
  csv += '\n';
  CHECK(FindMistakes(csv) == Locations{{0, ""}});
}

// Guards against taking the part before an unclosed quote for the whole sheet,
// and against reporting mistakes that only follow from the rows that were not
// read.
TEST_CASE_FIXTURE(SheetParserFixture,
                  "SheetParser_UnclosedQuote_IsReportedOnlyAtItsRow") {
  CHECK(FindMistakes(ReplaceInValidSheet("b1c", "\"b1c")) ==
        Locations{{5, ""}});
  CHECK(FindMistakes(ReplaceInValidSheet("b1c", "b\"1c")) ==
        Locations{{5, ""}});
}

}  // namespace
}  // namespace heatherwick
