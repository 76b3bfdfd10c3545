// Guards against quotas that refuse callers below the limit, stop with one
// instance, or are asked for more often than a workspace's load justifies.

#include <random>
#include <set>

#include "Source/decision/quota_plan.h"
#include "Tests/decision/quota_fleet.h"
#include "absl/strings/str_cat.h"
#include "doctest/doctest.h"

namespace heatherwick {
namespace {

class QuotaFixture {
 protected:
  // Plays `seconds` of random arrivals; instance 0 gets half of them.
  static void PlayUneven(QuotaFleet* fleet, double per_s, int seconds) {
    std::mt19937 random(7);
    std::exponential_distribution<double> gap(per_s);
    double next = 0;
    for (double now = 0; now < seconds; now = next) {
      next += gap(random);
      fleet->RunFor(absl::Seconds(next - now));
      fleet->Arrive(fleet->Below(2) == 0
                        ? 0
                        : static_cast<int>(fleet->Below(fleet->Instances())));
    }
    fleet->RunFor(absl::Seconds(1));
  }
  static double RefusedShare(const QuotaFleet& fleet) {
    return static_cast<double>(fleet.Refused()) /
           static_cast<double>(fleet.Refused() + fleet.Admitted());
  }
  static std::vector<FleetMember> Members(int count, int data_centres) {
    std::vector<FleetMember> members;
    members.reserve(static_cast<size_t>(count));
    for (int i = 0; i < count; ++i) {
      members.push_back(
          {absl::StrCat("i", i), absl::StrCat("z", i % data_centres), 10});
    }
    return members;
  }
};

TEST_CASE_FIXTURE(QuotaFixture,
                  "QuotaPlan_ManyMembers_OneShardEachDataCentre") {
  for (const int data_centres : {1, 3, 4, 7}) {
    const auto shards = PlanQuota("w", Members(40, data_centres));
    std::set<InstanceId> coordinators;
    std::set<DataCentreName> covered;
    for (const QuotaShard& shard : shards) {
      coordinators.insert(shard.coordinator);
      covered.insert(shard.data_centre);
    }
    CHECK(shards.size() == std::max(4, data_centres));
    CHECK(coordinators.size() == shards.size());
    CHECK(covered.size() == static_cast<size_t>(data_centres));
  }
  CHECK(PlanQuota("w", Members(2, 2)).size() == 2);
  CHECK(PlanQuota("w", {}).empty());
}

TEST_CASE_FIXTURE(QuotaFixture, "Quota_NearlyUsedUnevenly_FewAreRefused") {
  QuotaFleet fleet({.quota = {200, 200}});
  fleet.RunFor(absl::Seconds(5));
  PlayUneven(&fleet, 190, 60);
  CHECK(RefusedShare(fleet) <= 0.01);
  CHECK(fleet.WorstExcess() <= 0);
}

// Most workspaces are that small.
TEST_CASE_FIXTURE(QuotaFixture, "Quota_SmallAndNearlyUsed_FewAreRefused") {
  QuotaFleet fleet({.quota = {5, 5}});
  fleet.RunFor(absl::Seconds(5));
  PlayUneven(&fleet, 4.75, 600);
  CHECK(RefusedShare(fleet) <= 0.01);
  CHECK(fleet.WorstExcess() <= 0);
}

TEST_CASE_FIXTURE(QuotaFixture, "Quota_SevenTimesTheUsual_RateIsUsedInFull") {
  QuotaFleet fleet({.quota = {100, 100}});
  fleet.RunFor(absl::Seconds(5));
  PlayUneven(&fleet, 470, 20);
  CHECK(fleet.WorstExcess() <= 0);
  CHECK(fleet.Admitted() >= 20 * 100);
}

// The usual load is 1 / 1.6 of the quota, which the other shards can carry.
TEST_CASE_FIXTURE(QuotaFixture, "Quota_OneCoordinatorDead_UsualLoadIsServed") {
  QuotaFleet fleet({.quota = {160, 160}});
  fleet.RunFor(absl::Seconds(5));
  const auto shards = PlanQuota(kQuotaWorkspace, Members(8, 4));
  fleet.Kill(std::stoi(shards[1].coordinator.substr(1)));
  PlayUneven(&fleet, 100, 10);
  CHECK(RefusedShare(fleet) <= 0.01);
}

// An instance that reaches no coordinator must refuse at once, and must not
// call them without pause.
TEST_CASE_FIXTURE(QuotaFixture,
                  "Quota_NoCoordinatorReachable_FewCallsAreMade") {
  QuotaRequester requester("self", "z0");
  requester.OnMembers(Members(8, 4));
  absl::Time now = absl::UnixEpoch();
  size_t calls = 0;
  size_t refused = 0;
  for (QuotaTicket ticket = 1; ticket <= 1000; ++ticket) {
    now += absl::Milliseconds(1);
    QuotaActions actions;
    requester.Admit("w", ticket, 0, now, &actions);
    while (!actions.calls.empty()) {
      const QuotaQuery query = actions.calls.back().query;
      actions.calls.pop_back();
      ++calls;
      requester.OnAnswer(query, std::nullopt, now, &actions);
    }
    refused += actions.refused.size();
    CHECK(actions.admitted.empty());
  }
  CHECK(refused == 1000);
  CHECK(calls <= 4 * 11);
}

// A coordinator of another version, or a faulty one, must neither be asked
// without a pause, nor be avoided for ever, nor grant what was not asked for.
TEST_CASE_FIXTURE(QuotaFixture,
                  "QuotaRequester_ImplausibleAnswers_AreBounded") {
  QuotaRequester requester("self", "z0");
  requester.OnMembers(Members(1, 1));
  absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  QuotaActions actions;
  requester.Admit("w", 1, 0, now, &actions);
  REQUIRE(actions.calls.size() == 1);
  const QuotaQuery query = actions.calls[0].query;
  for (QuotaTicket ticket = 2; ticket < 5; ++ticket) {
    requester.Admit("w", ticket, 0, now, &actions);
  }
  actions = {};
  requester.OnAnswer(query, QuotaResponse{QuotaOutcome::kAnswered, 9, {}, 1},
                     now, &actions);
  CHECK(actions.admitted.size() == 1);
  for (const absl::Duration retry_after :
       {absl::ZeroDuration(), -absl::Hours(1), absl::InfiniteDuration()}) {
    CAPTURE(absl::FormatDuration(retry_after));
    REQUIRE(actions.calls.size() == 1);
    const QuotaQuery next = actions.calls[0].query;
    actions = {};
    requester.OnAnswer(
        next, QuotaResponse{QuotaOutcome::kAnswered, 0, retry_after, 0}, now,
        &actions);
    CHECK(actions.calls.empty());
    now += absl::Seconds(2);
    requester.OnTime(now, &actions);
    requester.Admit("w", 10, 0, now, &actions);
  }
  CHECK(actions.calls.size() == 1);
}

// After a loss of power all callers return at once.
TEST_CASE_FIXTURE(QuotaFixture, "Quota_AllRestart_CallersAreServedAtOnce") {
  QuotaFleet fleet({.quota = {160, 160}});
  fleet.RunFor(absl::Seconds(5));
  for (int i = 0; i < fleet.Instances(); ++i) {
    fleet.Kill(i);
  }
  fleet.RunFor(absl::Seconds(1));
  for (int i = 0; i < fleet.Instances(); ++i) {
    fleet.Restart(i);
  }
  fleet.RunFor(absl::Milliseconds(100));
  const size_t before = fleet.Admitted();
  PlayUneven(&fleet, 100, 1);
  CHECK(fleet.Admitted() - before >= 90);
}

// An instance joins, ends and starts again within a lease, while the others
// cannot read the members. They still coordinate its shard for the rest of
// their lease, so that the new process must not take it over. Fails for a fault
// that is not corrected; see KNOWN-RED.txt.
TEST_CASE_FIXTURE(QuotaFixture,
                  "Quota_RestartSoonAfterJoining_BoundHolds" *
                      doctest::may_fail()) {
  QuotaFleet fleet({.quota = {400, 40}});
  const auto shards = PlanQuota(kQuotaWorkspace, Members(8, 4));
  const int joining = std::stoi(shards[0].coordinator.substr(1));
  fleet.Kill(joining);
  fleet.RemoveMember(joining);
  fleet.RunFor(absl::Seconds(10));
  const auto load = [&fleet](int milliseconds) {
    for (int ms = 0; ms < milliseconds; ++ms) {
      fleet.RunFor(absl::Milliseconds(1));
      fleet.Arrive(static_cast<int>(fleet.Below(fleet.Instances())));
      fleet.Arrive(static_cast<int>(fleet.Below(fleet.Instances())));
    }
  };
  load(3000);
  for (int i = 0; i < fleet.Instances(); ++i) {
    fleet.SetCutFromStore(i, i != joining);
  }
  fleet.AddMember(joining);
  fleet.Restart(joining);  // Its process finds the row of its earlier run.
  load(5000);
  CHECK(fleet.WorstExcess() <= 0);
}

}  // namespace
}  // namespace heatherwick
