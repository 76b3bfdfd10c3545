// Guards against more operations of a workspace than its quota permits, with
// deaths, restarts, freezes, partitions, and members that come and go.
// FIRST_SEED and LAST_SEED choose other seeds.

#include <string>

#include "Tests/decision/quota_fleet.h"
#include "Tests/gateway/seed_range.h"
#include "doctest/doctest.h"

namespace heatherwick {
namespace {

class QuotaRandomFixture {
 protected:
  static void InjectFault(QuotaFleet* fleet) {
    const uint32_t kind = fleet->Below(10);
    const int instance = static_cast<int>(fleet->Below(fleet->Instances()));
    switch (kind) {
      case 0:
        fleet->Kill(instance);
        break;
      case 1:
        fleet->Restart(instance);
        break;
      case 2:
        fleet->RemoveMember(instance);
        break;
      case 3:
      case 4:
        fleet->AddMember(instance);
        fleet->Restart(instance);
        break;
      case 5:
        fleet->SetFrozen(instance, true);
        break;
      case 6:
        fleet->SetFrozen(instance, false);
        break;
      case 7:
        fleet->SetCutFromStore(instance, fleet->Below(3) == 0);
        break;
      case 8:
        Partition(fleet, instance);
        break;
      default:
        fleet->SetCutFromPeers(instance, fleet->Below(3) == 0);
        break;
    }
  }

  // Half of the instances are cut from the store and taken for dead.
  static void Partition(QuotaFleet* fleet, int first) {
    for (int i = 0; i < fleet->Instances() / 2; ++i) {
      const int instance = (first + i) % fleet->Instances();
      fleet->SetCutFromStore(instance, true);
      fleet->RemoveMember(instance);
    }
  }

  // Returns the worst window's excess over the bound.
  static double Play(uint32_t seed, absl::Duration lease) {
    QuotaFleet fleet(
        {.seed = seed, .instances = 9, .quota = {400, 40}, .lease = lease});
    fleet.RunFor(absl::Seconds(3));
    for (int step = 0; step < 20000; ++step) {
      fleet.RunFor(absl::Milliseconds(1));
      fleet.Arrive(static_cast<int>(fleet.Below(fleet.Instances())));
      fleet.Arrive(static_cast<int>(fleet.Below(fleet.Instances())));
      if (fleet.Below(250) == 0) {
        InjectFault(&fleet);
      }
    }
    return fleet.WorstExcess();
  }
};

TEST_CASE_FIXTURE(QuotaRandomFixture, "QuotaRandom_AnyFaults_BoundHolds") {
  const SeedRange seeds = SeedsFromEnvironment();
  for (uint32_t seed = seeds.first; seed <= seeds.last; ++seed) {
    CAPTURE(seed);
    CHECK(Play(seed, absl::Milliseconds(2100)) <= 0);
  }
}

// The check finds the fault that the wait for a lease prevents.
TEST_CASE_FIXTURE(QuotaRandomFixture,
                  "QuotaRandom_SharesInForceAtOnce_BoundIsBroken") {
  int broken = 0;
  for (uint32_t seed = 1; seed <= 60; ++seed) {
    broken += Play(seed, absl::ZeroDuration()) > 0 ? 1 : 0;
  }
  CHECK(broken > 0);
}

}  // namespace
}  // namespace heatherwick
