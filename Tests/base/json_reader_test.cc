// Guards against documents of other writers whose fields are converted silently
// or end the process.

#include "Source/base/json_reader.h"

#include <string>

#include "absl/strings/str_cat.h"
#include "doctest/doctest.h"
#include "nlohmann/json.hpp"

namespace heatherwick {
namespace {

class JsonReaderFixture {
 protected:
  static bool AcceptsNumber(const std::string& value) {
    const Result<nlohmann::json> document =
        ParseJson(absl::StrCat(R"({"n":)", value, "}"));
    REQUIRE(Ok(document));
    JsonReader reader(ValueOf(document));
    reader.Number("n", 1, 1000);
    return Ok(reader.Result());
  }
  static bool AcceptsName(const std::string& value) {
    const nlohmann::json document = {{"n", value}};
    JsonReader reader(document);
    reader.Name("n");
    return Ok(reader.Result());
  }
};

TEST_CASE_FIXTURE(JsonReaderFixture, "JsonReader_NumberInRange_IsAccepted") {
  CHECK(AcceptsNumber("1"));
  CHECK(AcceptsNumber("1000"));
}

TEST_CASE_FIXTURE(JsonReaderFixture,
                  "JsonReader_NumberOfOtherTypeOrRange_IsAnError") {
  for (const char* value :
       {"-1", "0", "1001", "1.0", "1.5", "1e2", "1e300", "-1e300",
        "18446744073709551616", "\"1\"", "null", "true", "[1]", "{}"}) {
    CAPTURE(value);
    CHECK_FALSE(AcceptsNumber(value));
  }
}

// A name with a line end could add a line to the protocol of the targets.
TEST_CASE_FIXTURE(JsonReaderFixture, "JsonReader_NameUnfitForALine_IsAnError") {
  CHECK(AcceptsName("depot-1"));
  for (const std::string& value :
       {std::string(), std::string("a b"), std::string("a\r\nQUERY"),
        std::string("a\0b", 3), std::string("\t"), std::string("a\x7f"),
        std::string(kMaxNameBytes + 1, 'a')}) {
    CAPTURE(value);
    CHECK_FALSE(AcceptsName(value));
  }
}

TEST_CASE_FIXTURE(JsonReaderFixture, "JsonReader_FieldMissing_IsNamed") {
  const nlohmann::json document = nlohmann::json::object();
  JsonReader reader(document);
  reader.Flag("open");
  reader.Name("later");
  REQUIRE_FALSE(Ok(reader.Result()));
  CHECK(ErrorOf(reader.Result()).message == "field \"open\" is missing");
}

TEST_CASE_FIXTURE(JsonReaderFixture, "ParseJson_DeepNesting_IsAnError") {
  const std::string deep = std::string(500000, '[') + std::string(500000, ']');
  CHECK_FALSE(Ok(ParseJson(deep)));
  CHECK_FALSE(Ok(ParseJson(std::string(500000, '['))));
  CHECK(Ok(ParseJson("[[[[1]]]]")));
}

TEST_CASE_FIXTURE(JsonReaderFixture, "ParseJson_InvalidBytes_IsAnError") {
  CHECK_FALSE(Ok(ParseJson("\xff\xfe")));
  CHECK_FALSE(Ok(ParseJson("{\"a\":\"\xc3\x28\"}")));
  CHECK_FALSE(Ok(ParseJson("")));
}

}  // namespace
}  // namespace heatherwick
