// Guards against starting with missing or invalid settings.

#include "platform/node_settings.h"

#include <string>

#include "absl/strings/match.h"
#include "doctest/doctest.h"

namespace heatherwick::platform {
namespace {

class NodeSettingsFixture {
 protected:
  std::string m_text =
      "nodeName=n1\nzone=z-a\nlistenAddrs.front=10.1.0.8:8784\n"
      "listenAddrs.ready=10.1.0.8:8785\ninternalPortRange=7440,7455\n"
      "platform.address=10.200.1.7:8783\ncloudApi.address=10.200.0.160:8783\n"
      "bounds.graceS=6\nsomething.new=x=y\n";
};

TEST_CASE_FIXTURE(NodeSettingsFixture, "NodeSettings_Complete_AreRead") {
  const auto settings = ParseNodeSettings(m_text, "f");
  REQUIRE(Ok(settings));
  CHECK(ValueOf(settings).node_name == "n1");
  CHECK(ValueOf(settings).callers.ToString() == "10.1.0.8:8784");
  CHECK(ValueOf(settings).first_internal_port == 7440);
}

TEST_CASE_FIXTURE(NodeSettingsFixture,
                  "NodeSettings_SeveralErrors_AreAllReported") {
  const auto settings = ParseNodeSettings(
      "nodeName=n1\nlistenAddrs.front=10.1.0.8\nbounds.graceS=six\n", "f");
  REQUIRE_FALSE(Ok(settings));
  const std::string text = ErrorOf(settings).message;
  for (const char* part : {"zone is missing", "\"10.1.0.8\" is not IP:PORT",
                           "platform.address", "\"six\" is not a number"}) {
    CAPTURE(text);
    CHECK(absl::StrContains(text, part));
  }
}

TEST_CASE_FIXTURE(NodeSettingsFixture,
                  "NodeSettings_FileMissing_ErrorNamesFile") {
  const auto settings = ReadNodeSettings("/nowhere/boot.conf");
  REQUIRE_FALSE(Ok(settings));
  CHECK(absl::StrContains(ErrorOf(settings).message, "/nowhere/boot.conf"));
}

}  // namespace
}  // namespace heatherwick::platform
