// Guards against a program that starts with options that it misunderstood.

#include "platform/program_options.h"

#include <string>

#include "absl/strings/match.h"
#include "doctest/doctest.h"

namespace heatherwick::platform {
namespace {

class ProgramOptionsFixture {
 protected:
  std::string ErrorFor(const std::vector<std::string>& arguments) const {
    const auto options = ParseProgramOptions(arguments, m_environment);
    return Ok(options) ? "" : ErrorOf(options).Describe();
  }

  SettingsParser::Environment m_environment = {
      {"HEATHERWICK_NODE_FILE", "/f"},
      {"HEATHERWICK_SOMETHING_NEW", "x"}};
};

TEST_CASE_FIXTURE(ProgramOptionsFixture,
                  "ProgramOptions_NothingGiven_NoAddressIsAdvertised") {
  const auto options = ParseProgramOptions({}, m_environment);
  REQUIRE(Ok(options));
  CHECK(ValueOf(options).settings_path == "/f");
  CHECK_FALSE(ValueOf(options).advertised_peer.has_value());
}

TEST_CASE_FIXTURE(ProgramOptionsFixture,
                  "ProgramOptions_AddressInEnvironment_IsAdvertised") {
  m_environment["HEATHERWICK_ADVERTISED_PEER_ADDRESS"] = "10.1.0.8:7440";
  const auto options = ParseProgramOptions({}, m_environment);
  REQUIRE(Ok(options));
  REQUIRE(ValueOf(options).advertised_peer.has_value());
  CHECK(ValueOf(options).advertised_peer->ToString() == "10.1.0.8:7440");
}

TEST_CASE_FIXTURE(ProgramOptionsFixture,
                  "ProgramOptions_AddressInvalid_ErrorNamesIt") {
  CHECK(absl::StrContains(ErrorFor({"--advertised-peer-address=10.1.0.8"}),
                          "--advertised-peer-address=10.1.0.8"));
}

// Commits are only given up if the operator says so.
TEST_CASE_FIXTURE(ProgramOptionsFixture,
                  "ProgramOptions_LogWaitLimit_IsInfiniteUnlessSet") {
  const auto options = ParseProgramOptions({}, m_environment);
  REQUIRE(Ok(options));
  CHECK(ValueOf(options).log_wait_limit == absl::InfiniteDuration());
  m_environment["HEATHERWICK_LOG_WAIT_LIMIT"] = "5m";
  const auto limited = ParseProgramOptions({}, m_environment);
  REQUIRE(Ok(limited));
  CHECK(ValueOf(limited).log_wait_limit == absl::Minutes(5));
  for (const std::string value : {"3s", "-1s", "soon", "nan"}) {
    CAPTURE(value);
    CHECK(absl::StrContains(ErrorFor({"--log-wait-limit=" + value}),
                            "expected a duration from 12s to inf"));
  }
}

TEST_CASE_FIXTURE(ProgramOptionsFixture,
                  "ProgramOptions_ArgumentOrFileMissing_IsAnError") {
  CHECK(absl::StrContains(ErrorFor({"x"}), "unexpected argument"));
  m_environment.clear();
  CHECK(absl::StrContains(ErrorFor({}), "HEATHERWICK_NODE_FILE is not set"));
  CHECK(ErrorFor({"--help"}).empty());
}

}  // namespace
}  // namespace heatherwick::platform
