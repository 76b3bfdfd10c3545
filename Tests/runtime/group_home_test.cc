// Tests that a group's home acknowledges nothing of a replaced primary.

#include "Source/runtime/group_home.h"

#include <atomic>
#include <memory>
#include <string>
#include <thread>

#include "Tests/runtime/fake_driver.h"
#include "doctest/doctest.h"

namespace heatherwick {
namespace {

class GroupHomeFixture {
 protected:
  GroupHomeFixture() {
    auto sheet = std::make_shared<Sheet>();
    sheet->groups["g"] = {"g", "r", {"a", "b", "c"}};
    for (const char* id : {"a", "b", "c"}) {
      sheet->targets[id] = {id, "g", "dc", id, 2, 16};
    }
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

  // Ticks until `condition` holds; false after five seconds.
  template <typename Condition>
  bool TickUntil(Condition condition) {
    const absl::Time end = absl::Now() + absl::Seconds(5);
    while (!condition()) {
      if (absl::Now() >= end) {
        return false;
      }
      m_home->Tick();
      absl::SleepFor(absl::Milliseconds(1));
    }
    return true;
  }

  std::string Primary() const {
    proto::GroupState state;
    m_home->Describe(&state);
    return state.primary();
  }

  void Send(proto::Operation operation) {
    proto::ExecuteRequest request;
    request.set_caller("shop");
    request.set_group("g");
    request.set_operation(operation);
    request.set_statement("GET key");
    m_home->Execute(request, absl::Now() + absl::Seconds(3),
                    [outcome = m_outcome](const proto::ExecuteReply& reply) {
                      *outcome = reply.outcome();
                    });
  }

  FakeDriver m_driver;
  DecisionLog m_log{DecisionLogLevel::kOff, 1};
  Metrics m_metrics;
  HomeContext m_context;
  std::shared_ptr<GroupHome> m_home;
  std::shared_ptr<std::atomic<int>> m_outcome =
      std::make_shared<std::atomic<int>>(proto::OUTCOME_UNSPECIFIED);
};

// Guards against an acknowledged write that the next primary lacks: the reply
// of the old primary arrives after the new one is known.
TEST_CASE_FIXTURE(GroupHomeFixture,
                  "GroupHome_WriteReplyAfterPromotion_IsNotAcknowledged") {
  REQUIRE(TickUntil([this] { return Primary() == "a"; }));
  m_driver.Hold();
  Send(proto::WRITE);
  REQUIRE(TickUntil([this] { return m_driver.Held() == 1; }));
  m_driver.Lead('b', 2);
  REQUIRE(TickUntil([this] { return Primary() == "b"; }));
  m_driver.Release();
  REQUIRE(TickUntil([this] { return *m_outcome != 0; }));
  CHECK(*m_outcome == proto::UNKNOWN);
}

// Guards against a current read that is answered without confirmation because
// the group has no primary when its reply arrives.
TEST_CASE_FIXTURE(GroupHomeFixture,
                  "GroupHome_CurrentReadAfterPrimaryLost_IsNotAnswered") {
  REQUIRE(TickUntil([this] { return Primary() == "a"; }));
  m_driver.Hold();
  Send(proto::READ);
  REQUIRE(TickUntil([this] { return m_driver.Held() == 1; }));
  m_driver.Lead('-', 2);
  REQUIRE(TickUntil([this] { return Primary().empty(); }));
  m_driver.Release();
  REQUIRE(TickUntil([this] { return *m_outcome != 0; }));
  CHECK(*m_outcome != proto::DONE);
}

}  // namespace
}  // namespace heatherwick
