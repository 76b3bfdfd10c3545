// Tests that a group's home acknowledges no request that a replaced primary
// ran.

#include <atomic>
#include <memory>
#include <string>

#include "Source/base/steady_clock.h"
#include "Tests/runtime/group_home_fixture.h"
#include "doctest/doctest.h"

namespace heatherwick {
namespace {

class GroupHomeFixture : public GroupHomeFixtureBase {
 protected:
  // Calls Tick until `condition` holds. Returns false after five seconds.
  template <typename Condition>
  bool TickUntil(Condition condition) {
    const absl::Time end = SteadyNow() + absl::Seconds(5);
    while (!condition()) {
      if (SteadyNow() >= end) {
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
    m_home->Execute(request, SteadyNow() + absl::Seconds(3),
                    [outcome = m_outcome](const proto::ExecuteReply& reply) {
                      *outcome = reply.outcome();
                    });
  }

  std::shared_ptr<std::atomic<int>> m_outcome =
      std::make_shared<std::atomic<int>>(proto::OUTCOME_UNSPECIFIED);
};

// Guards against acknowledging a write that the new primary does not have: the
// reply of the old primary arrives after the new primary is known.
TEST_CASE_FIXTURE(GroupHomeFixture,
                  "GroupHome_WriteReplyAfterPromotion_IsNotAcknowledged") {
  REQUIRE(TickUntil([this] { return Primary() == "a"; }));
  m_driver.HoldReplies();
  Send(proto::WRITE);
  REQUIRE(TickUntil([this] { return m_driver.HeldReplyCount() == 1; }));
  m_driver.SetPrimary('b', 2);
  REQUIRE(TickUntil([this] { return Primary() == "b"; }));
  m_driver.ReleaseReplies();
  REQUIRE(TickUntil([this] { return *m_outcome != 0; }));
  CHECK(*m_outcome == proto::UNKNOWN);
}

// Guards against answering a read of current data without confirmation because
// the group has no primary when the target's reply arrives.
TEST_CASE_FIXTURE(GroupHomeFixture,
                  "GroupHome_CurrentReadAfterPrimaryLost_IsNotAnswered") {
  REQUIRE(TickUntil([this] { return Primary() == "a"; }));
  m_driver.HoldReplies();
  Send(proto::READ);
  REQUIRE(TickUntil([this] { return m_driver.HeldReplyCount() == 1; }));
  m_driver.SetPrimary('-', 2);
  REQUIRE(TickUntil([this] { return Primary().empty(); }));
  m_driver.ReleaseReplies();
  REQUIRE(TickUntil([this] { return *m_outcome != 0; }));
  CHECK(*m_outcome != proto::DONE);
}

}  // namespace
}  // namespace heatherwick
