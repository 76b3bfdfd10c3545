// Draws the effect, the answer and the faults of an order.

#include "Tests/platform/soak/order_planner.h"

#include <algorithm>

namespace heatherwick::platform {
namespace {

constexpr absl::Duration kUsualEffectDelay = absl::Milliseconds(300);
constexpr absl::Duration kUsualEffectSpread = absl::Milliseconds(200);
constexpr absl::Duration kMaxEffectDelay = absl::Milliseconds(2500);
constexpr absl::Duration kMaxAnswerDelay = absl::Milliseconds(2500);
// A database crashes within this time after its order or the effect of it.
constexpr absl::Duration kCrashWindow = absl::Seconds(1);
constexpr absl::Duration kSoonAfterOrder = absl::Milliseconds(200);
constexpr absl::Duration kMaxFaultDuration = absl::Seconds(4);

}  // namespace

absl::Duration OrderPlanner::RandomTime(absl::Duration limit) {
  const auto limit_ms = static_cast<uint32_t>(absl::ToInt64Milliseconds(limit));
  return absl::Milliseconds(RandomBelow(limit_ms + 1));
}

OrderFault OrderPlanner::PlanFault(absl::Duration effect_delay) {
  OrderFault fault;
  const uint32_t kind = RandomBelow(20);
  if (kind < 6) {
    fault.kind = OrderFaultKind::kKillHolder;
  } else if (kind < 8) {
    fault.kind = OrderFaultKind::kTerminateHolder;
  } else if (kind < 10) {
    fault.kind = OrderFaultKind::kPauseHolder;
  } else if (kind < 11) {
    fault.kind = OrderFaultKind::kKillAllInstances;
  } else {
    fault.kind = OrderFaultKind::kCrashTarget;
  }
  if (fault.kind == OrderFaultKind::kCrashTarget) {
    if (RandomBelow(2) == 0) {
      // Down when a successor looks for a target, and back before the effect.
      fault.start = RandomTime(kSoonAfterOrder);
      fault.duration =
          RandomTime(std::max(effect_delay - fault.start, kSoonAfterOrder));
    } else {
      fault.start = RandomTime(kCrashWindow) +
                    (RandomBelow(2) == 0 ? effect_delay : absl::ZeroDuration());
      fault.duration = RandomTime(kMaxFaultDuration);
    }
    return fault;
  }
  fault.start =
      RandomTime(RandomBelow(2) == 0 ? kSoonAfterOrder : effect_delay);
  // Killed instances often start again at once.
  if (fault.kind == OrderFaultKind::kPauseHolder || RandomBelow(3) == 0) {
    fault.duration = RandomTime(kMaxFaultDuration);
  }
  return fault;
}

OrderPlan OrderPlanner::Plan() {
  absl::MutexLock lock(&m_mutex);
  OrderPlan plan;
  const uint32_t speed = RandomBelow(10);
  if (speed < 5) {
    plan.effect_delay = kUsualEffectDelay + RandomTime(kUsualEffectSpread);
  } else if (speed < 9) {
    plan.effect_delay = RandomTime(kMaxEffectDelay);
  }
  if (m_with_faults) {
    const uint32_t answer = RandomBelow(10);
    plan.answer_lost = answer < 3;
    if (answer < 5) {
      plan.answer_delay = RandomTime(kMaxAnswerDelay);
    }
    // None, one, or, mostly, two in series.
    const uint32_t fault_count = std::min(RandomBelow(5), 2U);
    while (plan.faults.size() < fault_count) {
      plan.faults.push_back(PlanFault(plan.effect_delay));
    }
  }
  return plan;
}

}  // namespace heatherwick::platform
