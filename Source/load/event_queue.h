// Queue of discrete events in virtual time. Events run in the order of their
// time; events of the same time run in the order in which they were added.

#ifndef SOURCE_LOAD_EVENT_QUEUE_H_
#define SOURCE_LOAD_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "absl/time/time.h"

namespace heatherwick {

class EventQueue {
 public:
  using Event = std::function<void()>;

  explicit EventQueue(absl::Time start) : m_now(start) {}

  absl::Time Now() const { return m_now; }

  void After(absl::Duration delay, Event event) {
    At(m_now + delay, std::move(event));
  }
  void At(absl::Time time, Event event) {
    m_entries.push({time, m_next_sequence++, std::move(event)});
  }

  // Runs all events whose time is at most `end`, including events that are
  // added meanwhile.
  void RunUntil(absl::Time end) {
    while (!m_entries.empty() && m_entries.top().time <= end) {
      const Event event = std::move(m_entries.top().event);
      m_now = m_entries.top().time;
      m_entries.pop();
      event();
    }
    m_now = end;
  }

 private:
  struct Entry {
    absl::Time time;
    uint64_t sequence = 0;
    mutable Event event;  // Mutable because priority_queue::top() is const.

    // Later entries compare less, because priority_queue puts the greatest
    // entry on top.
    bool operator<(const Entry& other) const {
      return time != other.time ? time > other.time : sequence > other.sequence;
    }
  };

  absl::Time m_now;
  uint64_t m_next_sequence = 0;
  std::priority_queue<Entry> m_entries;
};

}  // namespace heatherwick

#endif  // SOURCE_LOAD_EVENT_QUEUE_H_
