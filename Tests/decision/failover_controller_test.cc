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

  void Report(const TargetId& target, const TargetStatus& status) {
    m_controller.OnStatus(target, status, m_now, &m_actions);
  }

  static TargetStatus StatusOf(uint64_t term, bool primary, uint64_t lsn) {
    TargetStatus status;
    status.term = term;
    status.primary = primary;
    status.last = {1, lsn};
    return status;
  }

  // Advances the time in steps of 50 ms while the targets report the same.
  void RunWith(absl::Duration duration,
               const TargetStatus& a,
               const TargetStatus& b,
               const TargetStatus& c) {
    for (const absl::Time end = m_now + duration; m_now < end;) {
      m_now += absl::Milliseconds(50);
      m_controller.OnTick(m_now, &m_actions);
      Report("a", a);
      Report("b", b);
      Report("c", c);
    }
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

// Guards against a group without service for ever: a decider fenced one
// replica and crashed, and the primary's term is no longer the highest.
TEST_CASE_FIXTURE(FailoverFixture,
                  "FailoverController_MinorityFenced_StartsHigherTerm") {
  RunWith(absl::Seconds(2), StatusOf(1, true, 10), StatusOf(1, false, 10),
          StatusOf(1, false, 10));
  const absl::Time fenced = m_now;
  for (int i = 0; i < 40; ++i) {
    m_now += absl::Milliseconds(50);
    m_controller.OnTick(m_now, &m_actions);
    TargetStatus silent = StatusOf(2, false, 10);
    silent.primary_silent = m_now - fenced;
    Report("a", StatusOf(1, true, 10));
    Report("b", StatusOf(1, false, 10));
    Report("c", silent);
  }
  const auto* fence = Last<FenceTarget>();
  REQUIRE(fence != nullptr);
  CHECK(fence->term >= 3);
}

// Guards against a primary that this instance hears but its replicas do not:
// it confirms nothing, and its log is the longest by what it could not
// replicate.
TEST_CASE_FIXTURE(FailoverFixture,
                  "FailoverController_PrimaryCutOffFromReplicas_ReplacesIt") {
  RunWith(absl::Seconds(2), StatusOf(1, true, 10), StatusOf(1, false, 10),
          StatusOf(1, false, 10));
  TargetStatus silent = StatusOf(1, false, 10);
  silent.primary_silent = absl::Milliseconds(1200);
  RunWith(absl::Milliseconds(200), StatusOf(1, true, 20), silent, silent);
  const auto* fence = Last<FenceTarget>();
  REQUIRE(fence != nullptr);
  const uint64_t term = fence->term;
  m_controller.OnFenceReply("a", term, true, term, {1, 20}, m_now, &m_actions);
  m_controller.OnFenceReply("b", term, true, term, {1, 10}, m_now, &m_actions);
  CHECK(Last<PromoteTarget>() == nullptr);
  m_controller.OnFenceReply("c", term, true, term, {1, 11}, m_now, &m_actions);
  REQUIRE(Last<PromoteTarget>() != nullptr);
  CHECK(Last<PromoteTarget>()->target == "c");
}

// Guards against waiting for a primary that has restarted and leads no more,
// while it still answers in its old term.
TEST_CASE_FIXTURE(FailoverFixture,
                  "FailoverController_PrimaryLosesRoleInTerm_StartsPromotion") {
  RunWith(absl::Seconds(2), StatusOf(1, true, 10), StatusOf(1, false, 10),
          StatusOf(1, false, 10));
  TargetStatus silent = StatusOf(1, false, 10);
  silent.primary_silent = absl::Milliseconds(1200);
  RunWith(absl::Seconds(1), silent, silent, silent);
  CHECK(Last<FenceTarget>() != nullptr);
}

// Guards against a group without service for ever: the primary dies while an
// earlier one, cut off from its peers, still believes that it leads.
TEST_CASE_FIXTURE(FailoverFixture,
                  "FailoverController_PrimaryDiesBesideOlderOne_Promotes") {
  const TargetStatus older = StatusOf(1, true, 10);
  RunWith(absl::Seconds(2), older, StatusOf(2, true, 12),
          StatusOf(2, false, 12));
  REQUIRE(m_controller.Primary().has_value());
  CHECK(m_controller.Primary()->target == "b");
  const absl::Time died = m_now;
  for (int i = 0; i < 40; ++i) {
    m_now += absl::Milliseconds(50);
    m_controller.OnTick(m_now, &m_actions);
    TargetStatus silent = StatusOf(2, false, 12);
    silent.primary_silent = m_now - died;
    Report("a", older);
    Report("c", silent);
  }
  CHECK(Last<FenceTarget>() != nullptr);
}

// Guards against disrupting a primary that only this instance does not
// reach, because an earlier one still answers here.
TEST_CASE_FIXTURE(FailoverFixture,
                  "FailoverController_CutOffBesideOlderPrimary_DoesNotFence") {
  const TargetStatus older = StatusOf(1, true, 10);
  RunWith(absl::Seconds(2), older, StatusOf(2, true, 12),
          StatusOf(2, false, 12));
  for (int i = 0; i < 60; ++i) {
    m_now += absl::Milliseconds(50);
    m_controller.OnTick(m_now, &m_actions);
    Report("a", older);
    Report("c", StatusOf(2, false, 12));
  }
  CHECK(Last<FenceTarget>() == nullptr);
  REQUIRE(Last<PrimaryLost>() != nullptr);
  CHECK(Last<PrimaryLost>()->home_cut_off);
}

// Guards against a leaving primary that keeps its role until it is gone, and
// against replacing it before a replica holds its whole log.
TEST_CASE_FIXTURE(FailoverFixture,
                  "FailoverController_PrimaryLeaves_DrainsThenReplaces") {
  RunWith(absl::Seconds(2), StatusOf(1, true, 10), StatusOf(1, false, 10),
          StatusOf(1, false, 10));
  TargetStatus leaving = StatusOf(1, true, 12);
  leaving.leaving = true;
  RunWith(absl::Milliseconds(300), leaving, StatusOf(1, false, 11),
          StatusOf(1, false, 10));
  REQUIRE(Last<PrimaryLost>() != nullptr);
  CHECK(!Last<PrimaryLost>()->home_cut_off);
  CHECK(Last<FenceTarget>() == nullptr);
  RunWith(absl::Milliseconds(200), leaving, StatusOf(1, false, 12),
          StatusOf(1, false, 10));
  const auto* fence = Last<FenceTarget>();
  REQUIRE(fence != nullptr);
  const uint64_t term = fence->term;
  m_controller.OnFenceReply("a", term, true, term, {1, 12}, m_now, &m_actions);
  m_controller.OnFenceReply("b", term, true, term, {1, 12}, m_now, &m_actions);
  m_controller.OnFenceReply("c", term, true, term, {1, 12}, m_now, &m_actions);
  REQUIRE(Last<PromoteTarget>() != nullptr);
  CHECK(Last<PromoteTarget>()->target != "a");
}

// Guards against a leaving primary without a replica that can follow: it has
// to go on serving.
TEST_CASE_FIXTURE(FailoverFixture,
                  "FailoverController_PrimaryLeavesReplicasBehind_GoesOn") {
  RunWith(absl::Seconds(2), StatusOf(1, true, 10), StatusOf(1, false, 10),
          StatusOf(1, false, 10));
  TargetStatus leaving = StatusOf(1, true, 20);
  leaving.leaving = true;
  RunWith(absl::Seconds(1), leaving, StatusOf(1, false, 10),
          StatusOf(1, false, 10));
  CHECK(Last<FenceTarget>() == nullptr);
  REQUIRE(m_controller.Primary().has_value());
  CHECK(m_controller.Primary()->target == "a");
}

// Guards against a majority of a group that the removed primary still counts
// in, and against waiting for it.
TEST_CASE_FIXTURE(FailoverFixture,
                  "FailoverController_PrimaryRemovedFromGroup_IsForgotten") {
  RunWith(absl::Seconds(2), StatusOf(1, true, 10), StatusOf(1, false, 10),
          StatusOf(1, false, 10));
  m_controller.OnGroup({"b", "c"}, m_now);
  CHECK(!m_controller.Primary().has_value());
  m_now += absl::Milliseconds(300);
  m_actions.clear();
  m_controller.OnTick(m_now, &m_actions);
  for (const FailoverAction& action : m_actions) {
    if (const auto* read = std::get_if<ReadTargetStatus>(&action)) {
      CHECK(read->target != "a");
    }
  }
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
