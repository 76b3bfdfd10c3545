// A clock and an event queue in virtual time. Events run in the order of their
// time, and events of the same time in the order of insertion, so that runs
// with the same seed are identical.

#ifndef TESTS_SCENARIOS_EVENT_QUEUE_H_
#define TESTS_SCENARIOS_EVENT_QUEUE_H_

#include <functional>
#include <map>
#include <utility>

#include "absl/time/time.h"

namespace heatherwick {

class EventQueue {
 public:
  absl::Time Now() const { return m_now; }

  void After(absl::Duration delay, std::function<void()> event) {
    m_events.emplace(m_now + delay, std::move(event));
  }

  void RunUntil(absl::Time end) {
    while (!m_events.empty() && m_events.begin()->first <= end) {
      auto node = m_events.extract(m_events.begin());
      m_now = node.key();
      node.mapped()();
    }
    m_now = end;
  }

 private:
  absl::Time m_now = absl::FromUnixSeconds(1000);
  std::multimap<absl::Time, std::function<void()>> m_events;
};

}  // namespace heatherwick

#endif  // TESTS_SCENARIOS_EVENT_QUEUE_H_
