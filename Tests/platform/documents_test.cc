// Guards against invalid documents from other writers: wrong types, missing
// fields and bytes that are not JSON must not affect valid entries.

#include "platform/documents.h"

#include <set>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "doctest/doctest.h"
#include "nlohmann/json.hpp"

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

// Decodes a configuration whose list of workspaces is `tenants`.
Configuration DecodeWithWorkspaces(const std::string& tenants) {
  const auto decoded = DecodeConfiguration(
      R"({"version":7,"routes":[],"services":[],"tenants":)" + tenants + "}");
  REQUIRE(Ok(decoded));
  return ValueOf(decoded);
}

TEST_CASE_FIXTURE(DocumentsFixture, "Configuration_Workspaces_AreDecoded") {
  const Configuration configuration =
      DecodeWithWorkspaces(R"([{"name":"w","apiKeys":["k1","k2"],"priority":2,)"
                           R"("ratePerS":351,"burst":20}])");
  CHECK(configuration.has_workspaces);
  const Workspace& workspace = configuration.workspaces.at("w");
  CHECK(workspace.keys == std::set<std::string>{"k1", "k2"});
  CHECK(workspace.priority == 2);
  CHECK(workspace.quota == WorkspaceQuota{351, 20});
}

TEST_CASE_FIXTURE(DocumentsFixture,
                  "Configuration_NoWorkspaces_KeysAreNotAskedFor") {
  CHECK_FALSE(Decode("").has_workspaces);
}

// An entry that cannot be used must not admit its keys, nor cost another
// workspace its own.
TEST_CASE_FIXTURE(DocumentsFixture,
                  "Configuration_InvalidWorkspace_CostsItAlone") {
  for (const char* invalid :
       {R"({"apiKeys":["k9"]})", R"({"name":"x"})",
        R"({"name":"x","apiKeys":"k9"})", R"({"name":"x","apiKeys":["k9",5]})",
        R"({"name":"x","apiKeys":["k9","k1"]})",
        R"({"name":"w","apiKeys":["k9"]})", R"(7)"}) {
    CAPTURE(invalid);
    const Configuration configuration = DecodeWithWorkspaces(
        absl::StrCat(R"([{"name":"w","apiKeys":["k1"]},)", invalid,
                     R"(,{"name":"v","apiKeys":["k2"]}])"));
    CHECK(configuration.workspaces.size() == 2);
    CHECK(configuration.workspaces.at("w").keys == std::set<std::string>{"k1"});
    CHECK(configuration.workspaces.contains("v"));
  }
}

TEST_CASE_FIXTURE(DocumentsFixture,
                  "Configuration_InvalidQuota_KeepsTheWorkspace") {
  for (const char* quota :
       {R"("ratePerS":-1,"burst":5)", R"("ratePerS":1e300,"burst":5)",
        R"("ratePerS":"5")", R"("burst":5)"}) {
    CAPTURE(quota);
    const Configuration configuration = DecodeWithWorkspaces(
        absl::StrCat(R"([{"name":"w","apiKeys":["k1"],)", quota, "}]"));
    CHECK(configuration.workspaces.at("w").quota == std::nullopt);
    CHECK(configuration.invalid_quotas.contains("w"));
  }
}

// A rate need not be a whole number; without its quota the workspace would not
// be limited.
TEST_CASE_FIXTURE(DocumentsFixture, "Configuration_FractionalQuota_IsDecoded") {
  const Configuration configuration = DecodeWithWorkspaces(
      R"([{"name":"w","apiKeys":["k1"],"ratePerS":7.5,"burst":2.5}])");
  CHECK(configuration.workspaces.at("w").quota == WorkspaceQuota{7.5, 2.5});
  CHECK(configuration.invalid_quotas.empty());
}

// The name and the keys can be used, so that the callers are served.
TEST_CASE_FIXTURE(DocumentsFixture,
                  "Configuration_InvalidPriority_KeepsTheWorkspace") {
  for (const char* priority : {"-1", "\"high\"", "1e9"}) {
    CAPTURE(priority);
    const Configuration configuration = DecodeWithWorkspaces(
        absl::StrCat(R"([{"name":"w","apiKeys":["k1"],"priority":)", priority,
                     R"(,"ratePerS":7,"burst":2}])"));
    REQUIRE(configuration.workspaces.contains("w"));
    CHECK(configuration.workspaces.at("w").quota == WorkspaceQuota{7, 2});
  }
}

// The error is logged, and the parser's own text quotes the document.
TEST_CASE_FIXTURE(DocumentsFixture, "Configuration_NotJson_ErrorNamesNoKey") {
  for (const char* rest : {"", "x", "]", "\n", "\x01\""}) {
    CAPTURE(rest);
    const auto decoded = DecodeConfiguration(absl::StrCat(
        R"({"tenants":[{"name":"w","apiKeys":["secret-key)", rest));
    REQUIRE_FALSE(Ok(decoded));
    CHECK(ErrorOf(decoded).Describe().find("secret-key") == std::string::npos);
  }
}

TEST_CASE_FIXTURE(DocumentsFixture,
                  "Configuration_TenThousandWorkspaces_AreDecoded") {
  std::string list;
  for (int i = 0; i < 10000; ++i) {
    absl::StrAppend(&list, i == 0 ? "[" : ",", R"({"name":"w)", i,
                    R"(","apiKeys":["k)", i, R"("]})");
  }
  CHECK(DecodeWithWorkspaces(list + "]").workspaces.size() == 10000);
}

// A list of workspaces that cannot be read must not admit everybody.
TEST_CASE_FIXTURE(DocumentsFixture,
                  "Configuration_WorkspacesNotAList_AdmitsNobody") {
  const Configuration configuration = DecodeWithWorkspaces("5");
  CHECK(configuration.has_workspaces);
  CHECK(configuration.workspaces.empty());
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

// nlohmann-json converts numbers of another type silently, and an address that
// cannot be connected to would be tried again and again.
TEST_CASE_FIXTURE(DocumentsFixture,
                  "Target_FieldOfOtherTypeOrRange_IsAnError") {
  const nlohmann::json valid = {{"service", "s"},
                                {"address", "10.0.0.1:80"},
                                {"zone", "z"},
                                {"state", "ready"},
                                {"dbRole", "replica"},
                                {"slots", 2},
                                {"coldRemainingMs", 0},
                                {"sequence", 4},
                                {"born", 17}};
  REQUIRE(Ok(DecodeTarget("i-1", valid.dump())));
  struct InvalidField {
    const char* name;
    nlohmann::json value;
  };
  const std::vector<InvalidField> invalid = {
      {"service", ""},
      {"service", "a b"},
      {"service", "s\r\nQUERY"},
      {"service", std::string(100000, 's')},
      {"address", "10.0.0.1:0"},
      {"address", "10.0.0.1:65536"},
      {"address", "10.0.0.1:-1"},
      {"address", "10.0.0.1"},
      {"address", "10.0.0.1:80:81"},
      {"address", "10.0.0.256:80"},
      {"address", "localhost:80"},
      {"address", ":80"},
      {"address", nullptr},
      {"zone", 5},
      {"zone", "a\nb"},
      {"state", true},
      {"state", "unknown"},
      {"dbRole", 5},
      {"dbRole", "leader"},
      {"slots", -1},
      {"slots", "two"},
      {"sequence", nlohmann::json::array()},
      {"born", -1},
      {"born", 1.5},
      {"born", 1e300},
      {"born", "yesterday"}};
  for (const InvalidField& field : invalid) {
    nlohmann::json document = valid;
    document[field.name] = field.value;
    CAPTURE(field.name);
    CAPTURE(field.value.dump().substr(0, 40));
    CHECK_FALSE(Ok(DecodeTarget("i-1", document.dump())));
  }
  for (const char* id : {"", "i 1", "i-1\r\n"}) {
    CAPTURE(id);
    CHECK_FALSE(Ok(DecodeTarget(id, valid.dump())));
  }
}

TEST_CASE_FIXTURE(DocumentsFixture, "Target_DeepNesting_IsAnError") {
  const std::string deep =
      std::string(30000, '[') + "1" + std::string(30000, ']');
  CHECK_FALSE(Ok(DecodeTarget("i-1", deep)));
  CHECK_FALSE(Ok(DecodeTarget("i-1", R"({"service":)" + deep + "}")));
}

TEST_CASE_FIXTURE(DocumentsFixture,
                  "Configuration_RouteOutOfRange_KeepsOthers") {
  for (const char* change :
       {R"("timeoutMs":-5)", R"("timeoutMs":1e300)", R"("timeoutMs":0)",
        R"("maxStalenessMs":-1)", R"("priority":"high")", R"("service":"a b")",
        R"("targetLatencyMs":null)"}) {
    CAPTURE(change);
    std::string bad = RouteDocument("bad");
    bad.insert(bad.size() - 1, absl::StrCat(",", change));
    const Configuration configuration = Decode(bad + "," + RouteDocument("db"));
    CHECK(configuration.routes.size() == 1);
    CHECK(configuration.routes.contains("db"));
  }
}

// A group without its number of synchronous replicas could lose commits.
TEST_CASE_FIXTURE(DocumentsFixture,
                  "Configuration_InvalidService_IsNamedAndOthersKept") {
  for (const char* change :
       {R"("maxConnections":-1)", R"("maxConnections":4294967297)",
        R"("syncReplicas":-1)", R"("syncReplicas":"one")"}) {
    CAPTURE(change);
    const auto decoded = DecodeConfiguration(
        absl::StrCat(R"({"version":7,"routes":[],"services":[{"name":"bad",)",
                     change, R"(},5,{"name":"s","maxConnections":16}]})"));
    REQUIRE(Ok(decoded));
    const Configuration& configuration = ValueOf(decoded);
    CHECK(configuration.groups.size() == 1);
    CHECK(configuration.groups.at("s").max_connections == 16);
    CHECK(configuration.invalid_groups == std::set<GroupName>{"bad"});
  }
}

TEST_CASE_FIXTURE(DocumentsFixture,
                  "Configuration_VersionOutOfRange_IsAnError") {
  for (const char* version : {"-1", "0", "1.5", "1e300", "\"7\"", "null"}) {
    CAPTURE(version);
    CHECK_FALSE(Ok(DecodeConfiguration(absl::StrCat(
        R"({"version":)", version, R"(,"routes":[],"services":[]})"))));
  }
}

TEST_CASE_FIXTURE(DocumentsFixture,
                  "Configuration_InvalidLimit_KeepsTheDefault") {
  const auto decoded = DecodeConfiguration(
      R"({"version":7,"routes":[],"services":[],"limits":{"txIdleMs":-1}})");
  REQUIRE(Ok(decoded));
  CHECK(ValueOf(decoded).idle_transaction_timeout == absl::Seconds(3));
}

}  // namespace
}  // namespace heatherwick::platform
