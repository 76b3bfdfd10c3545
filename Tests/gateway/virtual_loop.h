// An event loop that runs in virtual time.

#ifndef TESTS_GATEWAY_VIRTUAL_LOOP_H_
#define TESTS_GATEWAY_VIRTUAL_LOOP_H_

#include <functional>
#include <map>
#include <memory>
#include <utility>

#include "Source/gateway/event_loop.h"

namespace heatherwick {

class VirtualLoop : public EventLoop {
 public:
  absl::Time Now() const override { return m_now; }

  std::unique_ptr<Timer> RunAfter(absl::Duration delay,
                                  std::function<void()> task) override {
    auto cancelled = std::make_shared<bool>(false);
    Add(delay, [cancelled, task = std::move(task)]() {
      if (!*cancelled) {
        task();
      }
    });
    return std::make_unique<VirtualTimer>(cancelled);
  }

  void Post(std::function<void()> task) override {
    Add(absl::ZeroDuration(), std::move(task));
  }

  // Schedules a task that cannot be cancelled.
  void Add(absl::Duration delay, std::function<void()> task) {
    m_tasks.emplace(std::pair(m_now + delay, m_next++), std::move(task));
  }

  void RunFor(absl::Duration time) {
    const absl::Time end = m_now + time;
    while (!m_tasks.empty() && m_tasks.begin()->first.first <= end) {
      auto task = m_tasks.extract(m_tasks.begin());
      m_now = std::max(m_now, task.key().first);
      task.mapped()();
    }
    m_now = end;
  }

  // Lets time pass without running any task, as when the process is suspended.
  void Freeze(absl::Duration time) { m_now += time; }

 private:
  class VirtualTimer : public Timer {
   public:
    explicit VirtualTimer(std::shared_ptr<bool> cancelled)
        : m_cancelled(std::move(cancelled)) {}
    ~VirtualTimer() override { *m_cancelled = true; }

   private:
    const std::shared_ptr<bool> m_cancelled;
  };

  absl::Time m_now = absl::UnixEpoch() + absl::Hours(1);
  uint64_t m_next = 0;
  std::map<std::pair<absl::Time, uint64_t>, std::function<void()>> m_tasks;
};

}  // namespace heatherwick

#endif  // TESTS_GATEWAY_VIRTUAL_LOOP_H_
