// Guards against entries of the list of databases that are not usable: each
// costs its own target alone.

#include "platform/store_watch.h"

#include <string>
#include <vector>

#include "Tests/gateway/fake_row_store.h"
#include "Tests/gateway/virtual_loop.h"
#include "absl/strings/str_cat.h"
#include "doctest/doctest.h"
#include "platform/wire_target_driver.h"

namespace heatherwick::platform {
namespace {

class NoPromotions : public PromotionApi {
 public:
  void Promote(const std::string&,
               const std::string&,
               const std::string&,
               uint64_t,
               absl::Duration,
               std::function<void(Status)>) override {}
};

class StoreWatchFixture {
 protected:
  StoreWatchFixture() {
    m_gateway.SetLeadership(&m_leadership);
    Put("a", Entry("10.0.0.1:80"));
    Put("b", Entry("10.0.0.2:80"));
    m_watch.Start();
    m_loop.RunFor(absl::Seconds(1));
  }

  static std::string Entry(const std::string& address) {
    return absl::StrCat(R"({"service":"s","address":")", address,
                        R"(","zone":"z","state":"ready","dbRole":"replica"})");
  }
  void Put(const std::string& key, const std::string& value) {
    RowTransaction transaction;
    transaction.writes = {{key, value, 0, false}};
    (void)m_table.Apply(transaction);
  }
  std::vector<TargetId> Listed() {
    m_loop.RunFor(absl::Seconds(2));
    std::vector<TargetId> ids;
    for (const ListedTarget& target : m_gateway.Targets("s")) {
      ids.push_back(target.id);
    }
    return ids;
  }

  VirtualLoop m_loop;
  FakeTable m_table;
  FakeRowStore m_store{&m_loop, &m_table};
  NoPromotions m_promotions;
  Metrics m_metrics;
  DecisionLog m_decisions{DecisionLogLevel::kOff, 0};
  boost::asio::io_context m_context;
  WireTargetDriver m_driver{&m_context};
  Gateway m_gateway{"z", &m_loop, &m_driver, &m_metrics, &m_decisions};
  LeadershipManager m_leadership{{"self", 1, "self", "z", 1},
                                 &m_loop,
                                 &m_store,
                                 &m_promotions,
                                 &m_gateway,
                                 nullptr};
  StoreWatch m_watch{&m_loop, &m_store, &m_gateway};
};

TEST_CASE_FIXTURE(StoreWatchFixture,
                  "StoreWatch_NewInvalidEntries_CostNoOther") {
  REQUIRE(Listed() == std::vector<TargetId>{"a", "b"});
  Put("c", "\xff\xfe");
  Put("d", Entry("10.0.0.3:65536"));
  Put("e", std::string(60000, '['));
  Put("f 1", Entry("10.0.0.4:80"));
  CHECK(Listed() == std::vector<TargetId>{"a", "b"});
}

// An entry that becomes invalid names no database any more. It stayed in use
// until the table was read anew.
TEST_CASE_FIXTURE(StoreWatchFixture,
                  "StoreWatch_EntryBecomesInvalid_TargetIsGoneUntilItIsValid") {
  Put("b", "{}");
  CHECK(Listed() == std::vector<TargetId>{"a"});
  Put("b", Entry("10.0.0.2:80"));
  CHECK(Listed() == std::vector<TargetId>{"a", "b"});
}

std::string ConfigurationOfVersion(int version) {
  return absl::StrCat(
      R"({"version":)", version,
      R"(,"routes":[],"services":[],"tenants":[],"limits":{}})");
}

// An older copy of the configuration neither replaces the one in force nor
// tells which keys are still in force.
TEST_CASE_FIXTURE(StoreWatchFixture,
                  "StoreWatch_StoreReturns_OlderConfigurationIsNotUsed") {
  Put("config", ConfigurationOfVersion(3));
  m_loop.RunFor(absl::Seconds(2));
  const FakeTable copy = m_table;
  Put("config", ConfigurationOfVersion(4));
  m_loop.RunFor(absl::Seconds(2));
  REQUIRE(m_gateway.ConfigurationVersion() == 4);
  m_table.ReturnTo(copy);
  const absl::Time returned = m_loop.Now();
  m_loop.RunFor(absl::Seconds(3));
  CHECK(m_gateway.ConfigurationVersion() == 4);
  CHECK(m_gateway.ConfigurationAsOf() <= returned);
  Put("config", ConfigurationOfVersion(4));
  m_loop.RunFor(absl::Seconds(2));
  CHECK(m_gateway.ConfigurationAsOf() > returned);
  Put("config", ConfigurationOfVersion(5));
  m_loop.RunFor(absl::Seconds(2));
  CHECK(m_gateway.ConfigurationVersion() == 5);
}

TEST_CASE_FIXTURE(StoreWatchFixture,
                  "StoreWatch_CopyLacksConfiguration_OneInForceStays") {
  const FakeTable copy = m_table;
  Put("config", ConfigurationOfVersion(4));
  m_loop.RunFor(absl::Seconds(2));
  m_table.ReturnTo(copy);
  const absl::Time returned = m_loop.Now();
  m_loop.RunFor(absl::Seconds(3));
  CHECK(m_gateway.ConfigurationVersion() == 4);
  CHECK(m_gateway.ConfigurationAsOf() <= returned);
}

// The copy may lack the entry of a target that lives.
TEST_CASE_FIXTURE(
    StoreWatchFixture,
    "StoreWatch_CopyLacksEntry_TargetStaysUntilItIsWrittenAgain") {
  const FakeTable copy = m_table;
  Put("c", Entry("10.0.0.3:80"));
  REQUIRE(Listed() == std::vector<TargetId>{"a", "b", "c"});
  m_table.ReturnTo(copy);
  CHECK(Listed() == std::vector<TargetId>{"a", "b", "c"});
  Put("c", Entry("10.0.0.3:80"));
  CHECK(Listed() == std::vector<TargetId>{"a", "b", "c"});
  m_loop.RunFor(absl::Seconds(6));
  CHECK(Listed() == std::vector<TargetId>{"a", "b", "c"});
}

}  // namespace
}  // namespace heatherwick::platform
