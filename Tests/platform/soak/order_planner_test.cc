// Shows that the soak draws orders whose effects are late and unknown to the
// instance that sent them; without these the soak misses writes that a replaced
// primary acknowledges.

#include "Tests/platform/soak/order_planner.h"

#include <set>

#include "doctest/doctest.h"

namespace heatherwick::platform {
namespace {

TEST_CASE("OrderPlanner_ManyOrders_MostNear400MsSomeAtOnceSomeLate") {
  OrderPlanner planner(1, false);
  int near_400_ms = 0;
  int at_once = 0;
  int late = 0;
  for (int order = 0; order < 1000; ++order) {
    const OrderPlan plan = planner.Plan();
    CHECK(plan.effect_delay <= absl::Milliseconds(2500));
    CHECK_FALSE(plan.answer_lost);
    CHECK(plan.answer_delay == absl::ZeroDuration());
    CHECK(plan.faults.empty());
    near_400_ms += plan.effect_delay >= absl::Milliseconds(300) &&
                           plan.effect_delay <= absl::Milliseconds(500)
                       ? 1
                       : 0;
    at_once += plan.effect_delay == absl::ZeroDuration() ? 1 : 0;
    late += plan.effect_delay >= absl::Seconds(1) ? 1 : 0;
  }
  CHECK(near_400_ms > 500);
  CHECK(at_once > 50);
  CHECK(late > 100);
}

TEST_CASE("OrderPlanner_WithFaults_AllKindsAndSeriesOfTwo") {
  OrderPlanner planner(1, true);
  std::set<OrderFaultKind> kinds;
  int lost = 0;
  int late = 0;
  int series = 0;
  for (int order = 0; order < 1000; ++order) {
    const OrderPlan plan = planner.Plan();
    lost += plan.answer_lost ? 1 : 0;
    late += plan.answer_delay > absl::ZeroDuration() ? 1 : 0;
    series += plan.faults.size() == 2 ? 1 : 0;
    for (const OrderFault& fault : plan.faults) {
      kinds.insert(fault.kind);
    }
  }
  CHECK(kinds.size() == 5);
  CHECK(lost > 100);
  CHECK(late > 100);
  CHECK(series > 100);
}

}  // namespace
}  // namespace heatherwick::platform
