// Tests when a primary is suspected and how it is replaced.

#include "Source/decision/failover_controller.h"

#include <random>
#include <string>

#include "doctest/doctest.h"

namespace heatherwick {
namespace {

class FailoverFixture {
 protected:
  FailoverFixture() : m_controller(FailoverOptions(), m_random) {
    m_controller.OnGroup({"a", "b", "c"}, m_now);
  }

  void Report(const TargetId& target, bool primary, absl::Duration silent) {
    TargetStatus status;
    status.term = 1;
    status.primary = primary;
    status.last = {1, 10};
    status.primary_silent = silent;
    m_controller.OnStatus(target, status, m_now, &m_actions);
  }

  // Advances the time in steps of 50 ms; "a" answers until it is dead, and
  // the replicas report how long they have not heard it.
  void Run(absl::Duration duration, bool home_hears, bool replicas_hear) {
    const absl::Time start = m_now;
    while (m_now < start + duration) {
      m_now += absl::Milliseconds(50);
      m_heard = replicas_hear ? m_now : m_heard;
      if (home_hears) {
        Report("a", true, absl::ZeroDuration());
      }
      Report("b", false, m_now - m_heard);
      Report("c", false, m_now - m_heard);
      m_controller.OnTick(m_now, &m_actions);
    }
  }

  template <typename Action>
  const Action* Last() const {
    for (auto action = m_actions.rbegin(); action != m_actions.rend();
         ++action) {
      if (const auto* wanted = std::get_if<Action>(&*action)) {
        return wanted;
      }
    }
    return nullptr;
  }

  std::mt19937_64 m_random{7};
  absl::Time m_now = absl::FromUnixSeconds(1000);
  absl::Time m_heard = m_now;
  FailoverController m_controller;
  std::vector<FailoverAction> m_actions;
};

TEST_CASE_FIXTURE(FailoverFixture,
                  "FailoverController_PrimaryDies_PromotesMostAdvancedLog") {
  Run(absl::Seconds(2), true, true);
  REQUIRE(m_controller.Primary().has_value());
  Run(absl::Milliseconds(1300), false, false);
  const auto* fence = Last<FenceTarget>();
  REQUIRE(fence != nullptr);
  m_controller.OnFenceReply("b", fence->term, true, 2, {1, 10}, m_now,
                            &m_actions);
  m_controller.OnFenceReply("c", fence->term, true, 2, {1, 12}, m_now,
                            &m_actions);
  const auto* promote = Last<PromoteTarget>();
  REQUIRE(promote != nullptr);
  CHECK(promote->target == "c");
}

// Guards against a promotion on one view alone: the home is cut off from a
// primary that serves the rest of the group.
TEST_CASE_FIXTURE(FailoverFixture,
                  "FailoverController_OnlyHomeIsCutOff_DoesNotFence") {
  Run(absl::Seconds(2), true, true);
  Run(absl::Seconds(5), false, true);
  CHECK(Last<FenceTarget>() == nullptr);
  REQUIRE(Last<PrimaryLost>() != nullptr);
  CHECK(Last<PrimaryLost>()->home_cut_off);
}

// Guards against handing the group to another instance when the primary has
// just died: the replicas' last contact is then as old as the home's, and
// two homes would start to compete for the promotion.
TEST_CASE_FIXTURE(FailoverFixture,
                  "FailoverController_PrimaryJustDied_IsNotTakenForCutOff") {
  Run(absl::Seconds(2), true, true);
  Run(absl::Milliseconds(200), false, true);
  Run(absl::Milliseconds(900), false, false);
  const auto* lost = Last<PrimaryLost>();
  CHECK((lost == nullptr || !lost->home_cut_off));
}

// Guards against writes that stay unconfirmed for as long as a primary is cut
// from its replicas, while the home hears all of them; and against choosing
// that primary again because of entries that were never confirmed.
TEST_CASE_FIXTURE(FailoverFixture,
                  "FailoverController_PrimaryCutFromReplicas_PassesItOver") {
  Run(absl::Seconds(3), true, true);
  Run(absl::Milliseconds(900), true, false);
  CHECK(Last<FenceTarget>() == nullptr);
  Run(absl::Milliseconds(200), true, false);
  const auto* fence = Last<FenceTarget>();
  REQUIRE(fence != nullptr);
  m_controller.OnFenceReply("a", fence->term, true, 2, {1, 99}, m_now,
                            &m_actions);
  m_controller.OnFenceReply("b", fence->term, true, 2, {1, 10}, m_now,
                            &m_actions);
  CHECK(Last<PromoteTarget>() == nullptr);
  m_controller.OnFenceReply("c", fence->term, true, 2, {1, 12}, m_now,
                            &m_actions);
  REQUIRE(Last<PromoteTarget>() != nullptr);
  CHECK(Last<PromoteTarget>()->target == "c");
}

// Guards against fencing a new primary before its replicas have found it:
// they still report the silence of the old one.
TEST_CASE_FIXTURE(FailoverFixture,
                  "FailoverController_NewPrimary_GetsTimeToBeFound") {
  Run(absl::Milliseconds(1500), true, false);
  CHECK(Last<FenceTarget>() == nullptr);
}

}  // namespace
}  // namespace heatherwick
