// Tests the reading of settings from flags and environment variables.

#include "Source/base/settings.h"

#include "doctest/doctest.h"

namespace heatherwick {
namespace {

class SettingsFixture {
 public:
  SettingsFixture() : m_parser("program", "Does something.") {
    m_parser.AddRequiredString("listen", "IP:PORT", "Own address", &m_listen);
    m_parser.AddUint("threads", "N", "Worker threads", 1, 64, &m_threads);
    m_parser.AddDuration("limit", "TIME", "Longest wait", absl::Milliseconds(1),
                         absl::Seconds(60), &m_limit);
  }

 protected:
  SettingsParser m_parser;
  std::string m_listen;
  uint64_t m_threads = 4;
  absl::Duration m_limit = absl::Seconds(2);
};

TEST_CASE_FIXTURE(SettingsFixture,
                  "Settings_FlagAndEnvironment_FlagWinsAndSourceIsKept") {
  const auto result = m_parser.Parse(
      {"--threads=8", "--listen", "127.0.0.1:1"},
      {{"HEATHERWICK_THREADS", "6"}, {"HEATHERWICK_LIMIT", "250ms"}});
  REQUIRE(Ok(result));
  CHECK(m_threads == 8);
  CHECK(m_limit == absl::Milliseconds(250));
  const ParsedSettings& parsed = ValueOf(result);
  REQUIRE(parsed.effective.size() == 3);
  CHECK(parsed.effective[1].source == SettingSource::kFlag);
  CHECK(parsed.effective[2].source == SettingSource::kEnvironment);
}

// Guards against reporting only the first error, which would cost operators one
// attempt to start per error.
TEST_CASE_FIXTURE(SettingsFixture, "Settings_ManyErrors_AllAreReported") {
  const auto result =
      m_parser.Parse({"--threads=0", "--colour=red", "--limit=soon"},
                     {{"HEATHERWICK_LISTNE", "127.0.0.1:1"}});
  REQUIRE(!Ok(result));
  const std::string message = ErrorOf(result).Describe();
  CHECK(message.find("--threads=0") != std::string::npos);
  CHECK(message.find("--colour") != std::string::npos);
  CHECK(message.find("--limit=soon") != std::string::npos);
  CHECK(message.find("HEATHERWICK_LISTNE") != std::string::npos);
  CHECK(message.find("--listen=") != std::string::npos);
}

}  // namespace
}  // namespace heatherwick
