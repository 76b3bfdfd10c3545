// Guards against invalid documents from other writers: wrong types, missing
// fields and bytes that are not JSON must not affect valid entries.

#include "platform/documents.h"

#include <string>

#include "doctest/doctest.h"

namespace heatherwick::platform {
namespace {

class DocumentsFixture {
 protected:
  static Configuration Decode(const std::string& routes) {
    const auto decoded = DecodeConfiguration(
        R"({"version":7,"routes":[)" + routes +
        R"(],"services":[{"name":"s","maxConnections":16,"syncReplicas":1}],)"
        R"("limits":{"txIdleMs":2500}})");
    REQUIRE(Ok(decoded));
    return ValueOf(decoded);
  }
  static std::string RouteDocument(const std::string& host) {
    return R"({"name":"r","host":")" + host +
           R"(","type":"bounded_staleness","timeoutMs":800,)"
           R"("targetLatencyMs":120,"priority":1,"service":"s",)"
           R"("maxStalenessMs":1500})";
  }
};

TEST_CASE_FIXTURE(DocumentsFixture, "Configuration_Complete_IsDecoded") {
  const Configuration configuration = Decode(RouteDocument("db"));
  CHECK(configuration.version == 7);
  CHECK(configuration.groups.at("s").max_connections == 16);
  CHECK(configuration.groups.at("s").sync_replicas == 1);
  const Route& route = configuration.routes.at("db");
  CHECK(route.consistency == Consistency::kBoundedStaleness);
  CHECK(route.max_staleness == absl::Milliseconds(1500));
  CHECK(route.statement_timeout == absl::Milliseconds(800));
  CHECK(configuration.idle_transaction_timeout == absl::Milliseconds(2500));
}

TEST_CASE_FIXTURE(DocumentsFixture,
                  "Configuration_OneInvalidRoute_KeepsOthers") {
  const Configuration configuration =
      Decode(R"({"host":"bad","service":5},)" + RouteDocument("db"));
  CHECK(configuration.routes.size() == 1);
}

TEST_CASE_FIXTURE(DocumentsFixture, "Configuration_NotJson_IsAnError") {
  CHECK_FALSE(Ok(DecodeConfiguration("\xff\xfe")));
  CHECK_FALSE(Ok(DecodeConfiguration("{}")));
}

TEST_CASE_FIXTURE(DocumentsFixture, "Target_Complete_IsDecoded") {
  const auto target = DecodeTarget(
      "i-1",
      R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"draining",)"
      R"("dbRole":"primary","sequence":4,"born":1700000000000})");
  REQUIRE(Ok(target));
  CHECK(ValueOf(target).draining);
  CHECK(ValueOf(target).claims_primary);
  CHECK(ValueOf(target).started_unix_ms == 1700000000000);
}

TEST_CASE_FIXTURE(DocumentsFixture, "Target_InvalidEntry_IsAnError") {
  for (const char* document :
       {"", "[]", "{}", R"({"service":1,"address":"a","zone":"z"})",
        R"({"service":"s","address":"a","zone":"z","state":"sleeping"})",
        "\x80\x81"}) {
    CAPTURE(document);
    CHECK_FALSE(Ok(DecodeTarget("i-1", document)));
  }
}

}  // namespace
}  // namespace heatherwick::platform
