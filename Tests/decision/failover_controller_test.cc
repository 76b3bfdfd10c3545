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
    m_controller.SetTargets({"a", "b", "c"}, m_now);
  }

  void Report(const TargetId& target,
              bool primary,
              absl::Duration without_contact) {
    TargetStatus status;
    status.term = 1;
    status.primary = primary;
    status.last = {1, 10};
    status.since_primary_contact = without_contact;
    m_controller.OnStatus(target, status, m_now, &m_actions);
  }

  void Report(const TargetId& target, const TargetStatus& status) {
    m_controller.OnStatus(target, status, m_now, &m_actions);
  }

  static TargetStatus MakeStatus(uint64_t term, bool primary, uint64_t lsn) {
    TargetStatus status;
    status.term = term;
    status.primary = primary;
    status.last = {1, lsn};
    return status;
  }

  // Advances the time in steps of 50 ms. At each step the targets report the
  // given statuses.
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

  // Advances the time in steps of 50 ms. The primary "a" answers the home if
  // `home_has_contact`. The replicas report the time since their last contact
  // with the primary, which is zero if `replicas_have_contact`.
  void Run(absl::Duration duration,
           bool home_has_contact,
           bool replicas_have_contact) {
    const absl::Time start = m_now;
    while (m_now < start + duration) {
      m_now += absl::Milliseconds(50);
      m_last_primary_contact =
          replicas_have_contact ? m_now : m_last_primary_contact;
      if (home_has_contact) {
        Report("a", true, absl::ZeroDuration());
      }
      Report("b", false, m_now - m_last_primary_contact);
      Report("c", false, m_now - m_last_primary_contact);
      m_controller.OnTick(m_now, &m_actions);
    }
  }

  template <typename Action>
  const Action* LastAction() const {
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
  absl::Time m_last_primary_contact = m_now;
  FailoverController m_controller;
  std::vector<FailoverAction> m_actions;
};

TEST_CASE_FIXTURE(FailoverFixture,
                  "FailoverController_PrimaryDies_PromotesMostAdvancedLog") {
  Run(absl::Seconds(2), true, true);
  REQUIRE(m_controller.Primary().has_value());
  Run(absl::Milliseconds(1300), false, false);
  const auto* fence = LastAction<FenceTarget>();
  REQUIRE(fence != nullptr);
  m_controller.OnFenceReply("b", fence->term, true, 2, {1, 10}, m_now,
                            &m_actions);
  m_controller.OnFenceReply("c", fence->term, true, 2, {1, 12}, m_now,
                            &m_actions);
  const auto* promote = LastAction<PromoteTarget>();
  REQUIRE(promote != nullptr);
  CHECK(promote->target == "c");
}

// Guards against a promotion that is based on the home's view alone: the home
// is cut off from a primary that still serves the rest of the group.
TEST_CASE_FIXTURE(FailoverFixture,
                  "FailoverController_OnlyHomeIsCutOff_DoesNotFence") {
  Run(absl::Seconds(2), true, true);
  Run(absl::Seconds(5), false, true);
  CHECK(LastAction<FenceTarget>() == nullptr);
  REQUIRE(LastAction<PrimaryLost>() != nullptr);
  CHECK(LastAction<PrimaryLost>()->home_cut_off);
}

// Guards against handing the group over to another instance when the primary
// has just died. The replicas' last contact with it is then as old as the
// home's, and after a handover two homes would compete for the promotion.
TEST_CASE_FIXTURE(FailoverFixture,
                  "FailoverController_PrimaryJustDied_IsNotReportedAsCutOff") {
  Run(absl::Seconds(2), true, true);
  Run(absl::Milliseconds(200), false, true);
  Run(absl::Milliseconds(900), false, false);
  const auto* lost = LastAction<PrimaryLost>();
  CHECK((lost == nullptr || !lost->home_cut_off));
}

// Guards against a group that stays without service: a controller has fenced
// one replica and crashed, so the primary's term is no longer the highest.
TEST_CASE_FIXTURE(FailoverFixture,
                  "FailoverController_MinorityFenced_StartsHigherTerm") {
  RunWith(absl::Seconds(2), MakeStatus(1, true, 10), MakeStatus(1, false, 10),
          MakeStatus(1, false, 10));
  const absl::Time fenced = m_now;
  for (int i = 0; i < 40; ++i) {
    m_now += absl::Milliseconds(50);
    m_controller.OnTick(m_now, &m_actions);
    TargetStatus without_contact = MakeStatus(2, false, 10);
    without_contact.since_primary_contact = m_now - fenced;
    Report("a", MakeStatus(1, true, 10));
    Report("b", MakeStatus(1, false, 10));
    Report("c", without_contact);
  }
  const auto* fence = LastAction<FenceTarget>();
  REQUIRE(fence != nullptr);
  CHECK(fence->term >= 3);
}

// Guards against keeping a primary that answers this instance but not its
// replicas. Such a primary can't confirm any write, and its log is the longest
// because of the entries that it could not replicate.
TEST_CASE_FIXTURE(FailoverFixture,
                  "FailoverController_PrimaryCutOffFromReplicas_ReplacesIt") {
  RunWith(absl::Seconds(2), MakeStatus(1, true, 10), MakeStatus(1, false, 10),
          MakeStatus(1, false, 10));
  TargetStatus without_contact = MakeStatus(1, false, 10);
  without_contact.since_primary_contact = absl::Milliseconds(1200);
  RunWith(absl::Milliseconds(200), MakeStatus(1, true, 20), without_contact,
          without_contact);
  const auto* fence = LastAction<FenceTarget>();
  REQUIRE(fence != nullptr);
  const uint64_t term = fence->term;
  m_controller.OnFenceReply("a", term, true, term, {1, 20}, m_now, &m_actions);
  m_controller.OnFenceReply("b", term, true, term, {1, 10}, m_now, &m_actions);
  CHECK(LastAction<PromoteTarget>() == nullptr);
  m_controller.OnFenceReply("c", term, true, term, {1, 11}, m_now, &m_actions);
  REQUIRE(LastAction<PromoteTarget>() != nullptr);
  CHECK(LastAction<PromoteTarget>()->target == "c");
}

// Guards against waiting for a primary that lost its role in a restart but
// still answers in its old term.
TEST_CASE_FIXTURE(FailoverFixture,
                  "FailoverController_PrimaryLosesRoleInTerm_StartsPromotion") {
  RunWith(absl::Seconds(2), MakeStatus(1, true, 10), MakeStatus(1, false, 10),
          MakeStatus(1, false, 10));
  TargetStatus without_contact = MakeStatus(1, false, 10);
  without_contact.since_primary_contact = absl::Milliseconds(1200);
  RunWith(absl::Seconds(1), without_contact, without_contact, without_contact);
  CHECK(LastAction<FenceTarget>() != nullptr);
}

// Guards against a group that stays without service: the primary dies while an
// earlier primary, cut off from the other targets, still believes that it is
// the primary.
TEST_CASE_FIXTURE(FailoverFixture,
                  "FailoverController_PrimaryDiesWithOlderOneUp_Fences") {
  const TargetStatus older = MakeStatus(1, true, 10);
  RunWith(absl::Seconds(2), older, MakeStatus(2, true, 12),
          MakeStatus(2, false, 12));
  REQUIRE(m_controller.Primary().has_value());
  CHECK(m_controller.Primary()->target == "b");
  const absl::Time died = m_now;
  for (int i = 0; i < 40; ++i) {
    m_now += absl::Milliseconds(50);
    m_controller.OnTick(m_now, &m_actions);
    TargetStatus without_contact = MakeStatus(2, false, 12);
    without_contact.since_primary_contact = m_now - died;
    Report("a", older);
    Report("c", without_contact);
  }
  CHECK(LastAction<FenceTarget>() != nullptr);
}

// Guards against replacing a working primary that only this instance can't
// reach, just because an earlier primary still answers this instance.
TEST_CASE_FIXTURE(FailoverFixture,
                  "FailoverController_CutOffWithOlderPrimaryUp_DoesNotFence") {
  const TargetStatus older = MakeStatus(1, true, 10);
  RunWith(absl::Seconds(2), older, MakeStatus(2, true, 12),
          MakeStatus(2, false, 12));
  for (int i = 0; i < 60; ++i) {
    m_now += absl::Milliseconds(50);
    m_controller.OnTick(m_now, &m_actions);
    Report("a", older);
    Report("c", MakeStatus(2, false, 12));
  }
  CHECK(LastAction<FenceTarget>() == nullptr);
  REQUIRE(LastAction<PrimaryLost>() != nullptr);
  CHECK(LastAction<PrimaryLost>()->home_cut_off);
}

// Guards against a leaving primary that keeps its role until it stops, and
// against replacing it before a replica has its whole log.
TEST_CASE_FIXTURE(FailoverFixture,
                  "FailoverController_PrimaryLeaves_DrainsThenReplaces") {
  RunWith(absl::Seconds(2), MakeStatus(1, true, 10), MakeStatus(1, false, 10),
          MakeStatus(1, false, 10));
  TargetStatus leaving = MakeStatus(1, true, 12);
  leaving.leaving = true;
  RunWith(absl::Milliseconds(300), leaving, MakeStatus(1, false, 11),
          MakeStatus(1, false, 10));
  REQUIRE(LastAction<PrimaryLost>() != nullptr);
  CHECK(!LastAction<PrimaryLost>()->home_cut_off);
  CHECK(LastAction<FenceTarget>() == nullptr);
  RunWith(absl::Milliseconds(200), leaving, MakeStatus(1, false, 12),
          MakeStatus(1, false, 10));
  const auto* fence = LastAction<FenceTarget>();
  REQUIRE(fence != nullptr);
  const uint64_t term = fence->term;
  m_controller.OnFenceReply("a", term, true, term, {1, 12}, m_now, &m_actions);
  m_controller.OnFenceReply("b", term, true, term, {1, 12}, m_now, &m_actions);
  m_controller.OnFenceReply("c", term, true, term, {1, 12}, m_now, &m_actions);
  REQUIRE(LastAction<PromoteTarget>() != nullptr);
  CHECK(LastAction<PromoteTarget>()->target != "a");
}

// Guards against losing the primary when it is leaving and no replica has
// caught up: it has to continue to serve.
TEST_CASE_FIXTURE(FailoverFixture,
                  "FailoverController_PrimaryLeavesReplicasLag_KeepsIt") {
  RunWith(absl::Seconds(2), MakeStatus(1, true, 10), MakeStatus(1, false, 10),
          MakeStatus(1, false, 10));
  TargetStatus leaving = MakeStatus(1, true, 20);
  leaving.leaving = true;
  RunWith(absl::Seconds(1), leaving, MakeStatus(1, false, 10),
          MakeStatus(1, false, 10));
  CHECK(LastAction<FenceTarget>() == nullptr);
  REQUIRE(m_controller.Primary().has_value());
  CHECK(m_controller.Primary()->target == "a");
}

// Guards against counting a removed primary as part of the majority, and
// against waiting for its status.
TEST_CASE_FIXTURE(FailoverFixture,
                  "FailoverController_PrimaryRemovedFromGroup_IsForgotten") {
  RunWith(absl::Seconds(2), MakeStatus(1, true, 10), MakeStatus(1, false, 10),
          MakeStatus(1, false, 10));
  m_controller.SetTargets({"b", "c"}, m_now);
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

// Guards against fencing a new primary before its replicas have found it. Until
// then they still report that they have no contact with the old primary.
TEST_CASE_FIXTURE(FailoverFixture,
                  "FailoverController_ReplicasSeekNewPrimary_DoesNotFence") {
  Run(absl::Milliseconds(1500), true, false);
  CHECK(LastAction<FenceTarget>() == nullptr);
}

}  // namespace
}  // namespace heatherwick
