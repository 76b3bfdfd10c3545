// Shows that drawn times stay within their bounds and come near both.

#include "Tests/platform/soak/pause_draws.h"

#include <algorithm>

#include "doctest/doctest.h"

namespace heatherwick::platform {
namespace {

void CheckDraws(TimeBounds bounds, absl::Duration min, absl::Duration max) {
  std::mt19937 random(1);
  absl::Duration least = absl::InfiniteDuration();
  absl::Duration most = absl::ZeroDuration();
  for (int count = 0; count < 1000; ++count) {
    const absl::Duration drawn = DrawTime(bounds, &random);
    least = std::min(least, drawn);
    most = std::max(most, drawn);
  }
  CHECK(least >= min);
  CHECK(least < min + 0.05 * (max - min));
  CHECK(most <= max);
  CHECK(most > max - 0.05 * (max - min));
}

TEST_CASE("DrawTime_ManyDraws_NearBothBounds") {
  CheckDraws(kLongPause, absl::Seconds(3), absl::Seconds(15));
  CheckDraws(kTimeToLongPause, absl::ZeroDuration(), absl::Seconds(10));
  CheckDraws(kTimeWithoutPower, absl::Seconds(1), absl::Seconds(2));
}

TEST_CASE("DrawTime_BoundsOneApart_BothDrawn") {
  CheckDraws({7, 8}, absl::Milliseconds(7), absl::Milliseconds(8));
}

}  // namespace
}  // namespace heatherwick::platform
