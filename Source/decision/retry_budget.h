// Bounds the repeats of refused statements to a share of the requests, so
// that a failure does not multiply the load.

#ifndef SOURCE_DECISION_RETRY_BUDGET_H_
#define SOURCE_DECISION_RETRY_BUDGET_H_

#include <algorithm>

namespace heatherwick {

class RetryBudget {
 public:
  void OnRequest() { m_tokens = std::min(m_tokens + kRatio, kBurst); }

  // Takes one repeat when the budget has one.
  bool TryTake() {
    if (m_tokens < 1.0) {
      return false;
    }
    m_tokens -= 1.0;
    return true;
  }

 private:
  // Section 7 of docs/design.md.
  static constexpr double kRatio = 0.1;
  // A group with little traffic must still be able to repeat the statements
  // that a failure refuses, at most one for each slot and a few more.
  static constexpr double kBurst = 20.0;

  double m_tokens = kBurst;
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_RETRY_BUDGET_H_
