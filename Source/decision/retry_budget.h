// Limits the retries of refused statements to a fraction of the requests, so
// that a failure does not multiply the load.

#ifndef SOURCE_DECISION_RETRY_BUDGET_H_
#define SOURCE_DECISION_RETRY_BUDGET_H_

#include <algorithm>

namespace heatherwick {

class RetryBudget {
 public:
  void OnRequest() {
    m_tokens = std::min(m_tokens + kRetriesPerRequest, kMaxTokens);
  }

  // Takes one retry from the budget. Returns false if the budget is exhausted.
  bool TryTake() {
    if (m_tokens < 1.0) {
      return false;
    }
    m_tokens -= 1.0;
    return true;
  }

 private:
  // See docs/design.md, section 7.
  static constexpr double kRetriesPerRequest = 0.1;
  // A group with little traffic must still be able to retry the statements that
  // are refused in a failure: at most one for each slot, and a few more.
  static constexpr double kMaxTokens = 20.0;

  double m_tokens = kMaxTokens;
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_RETRY_BUDGET_H_
