// A fixture with the home of one group, which has three targets and uses the
// fake driver.

#ifndef TESTS_RUNTIME_GROUP_HOME_FIXTURE_H_
#define TESTS_RUNTIME_GROUP_HOME_FIXTURE_H_

#include <memory>

#include "Source/runtime/group_home.h"
#include "Tests/runtime/fake_driver.h"
#include "doctest/doctest.h"

namespace heatherwick {

class GroupHomeFixtureBase {
 protected:
  GroupHomeFixtureBase() {
    auto sheet = std::make_shared<Sheet>();
    sheet->groups["g"] = {"g", "r", {"a", "b", "c"}};
    for (const char* id : {"a", "b", "c"}) {
      sheet->targets[id] = {id, "g", "dc", id, 2, 16};
    }
    sheet->read_kinds["browse"] = {"browse", absl::Seconds(30)};
    sheet->callers["shop"] = {"shop", 1};
    m_context.self = {"i", "127.0.0.1:1", "dc", "r", "1", false};
    m_context.driver = &m_driver;
    m_context.decision_log = &m_log;
    m_context.metrics = &m_metrics;
    auto created = GroupHome::Create(&m_context, "g");
    REQUIRE(Ok(created));
    m_home = ValueOf(created);
    m_home->OnSheet({1, sheet});
  }

  FakeDriver m_driver;
  DecisionLog m_log{DecisionLogLevel::kOff, 1};
  Metrics m_metrics;
  HomeContext m_context;
  std::shared_ptr<GroupHome> m_home;
};

}  // namespace heatherwick

#endif  // TESTS_RUNTIME_GROUP_HOME_FIXTURE_H_
