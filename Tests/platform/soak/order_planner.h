// Draws what becomes of each order of a promotion: when it takes effect, how it
// is answered, and which faults follow it.

#ifndef TESTS_PLATFORM_SOAK_ORDER_PLANNER_H_
#define TESTS_PLATFORM_SOAK_ORDER_PLANNER_H_

#include <cstdint>
#include <random>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace heatherwick::platform {

enum class OrderFaultKind {
  kKillHolder,
  kTerminateHolder,
  kPauseHolder,
  kKillAllInstances,
  kCrashTarget,
};

struct OrderFault {
  OrderFaultKind kind = OrderFaultKind::kKillHolder;
  absl::Duration start;  // Counted from the order.
  absl::Duration duration;
};

struct OrderPlan {
  absl::Duration effect_delay;
  absl::Duration answer_delay;
  bool answer_lost = false;
  std::vector<OrderFault> faults;
};

class OrderPlanner {
 public:
  // Without `with_faults` every order is answered at once, and no faults
  // follow.
  OrderPlanner(uint32_t seed, bool with_faults)
      : m_with_faults(with_faults), m_random(seed) {}

  // Thread-safe.
  OrderPlan Plan();

 private:
  uint32_t RandomBelow(uint32_t limit) { return m_random() % limit; }
  absl::Duration RandomTime(absl::Duration limit);
  OrderFault PlanFault(absl::Duration effect_delay);

  const bool m_with_faults;
  absl::Mutex m_mutex;
  std::mt19937 m_random;
};

}  // namespace heatherwick::platform

#endif  // TESTS_PLATFORM_SOAK_ORDER_PLANNER_H_
