// Shows that the fake databases treat orders of promotions as the platform's
// page states it; the soak relies on this to find orders that take effect late.

#include "Tests/platform/platform_fakes.h"

#include "absl/time/clock.h"
#include "doctest/doctest.h"

namespace heatherwick::platform {
namespace {

constexpr absl::Duration kLate = absl::Milliseconds(100);

// Never destroyed, because the server threads use it until the process ends.
struct Fixture {
  FakeStore store;
  FakeDatabaseGroup group{"f",
                          3,
                          &store,
                          {absl::ZeroDuration(), absl::ZeroDuration()}};
};

TEST_CASE("FakeDatabaseGroup_OrderWithDelay_TakesEffectLater") {
  auto* const fixture = new Fixture();
  FakeDatabaseGroup& group = fixture->group;
  CHECK(group.Promote("f-1", kLate) == 200);
  CHECK(group.Primary() == "f-0");
  CHECK(group.Promote("f-2", absl::ZeroDuration()) == 200);
  CHECK(group.Primary() == "f-2");
  absl::SleepFor(3 * kLate);
  CHECK(group.Primary() == "f-1");
}

TEST_CASE("FakeDatabaseGroup_OrderedDatabaseDown_IsRefusedWithoutEffect") {
  auto* const fixture = new Fixture();
  FakeDatabaseGroup& group = fixture->group;
  group.Crash("f-1");
  CHECK(group.Promote("f-1", absl::ZeroDuration()) == 409);
  group.Restart("f-1");
  CHECK(group.Primary() == "f-0");
  CHECK(group.Promote("f-0", absl::ZeroDuration()) == 200);
  CHECK(group.Primary() == "f-0");
  CHECK(group.Promote("f-1", kLate) == 200);
  group.Crash("f-1");
  absl::SleepFor(3 * kLate);
  CHECK(group.Primary() == "f-0");
}

}  // namespace
}  // namespace heatherwick::platform
