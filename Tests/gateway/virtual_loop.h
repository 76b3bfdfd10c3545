// An event loop that runs in virtual time.

#ifndef TESTS_GATEWAY_VIRTUAL_LOOP_H_
#define TESTS_GATEWAY_VIRTUAL_LOOP_H_

#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "Source/gateway/event_loop.h"

namespace heatherwick {

class VirtualTimer : public Timer {
 public:
  explicit VirtualTimer(std::shared_ptr<bool> cancelled)
      : m_cancelled(std::move(cancelled)) {}
  ~VirtualTimer() override { *m_cancelled = true; }

 private:
  const std::shared_ptr<bool> m_cancelled;
};

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
  absl::Time m_now = absl::UnixEpoch() + absl::Hours(1);
  uint64_t m_next = 0;
  std::map<std::pair<absl::Time, uint64_t>, std::function<void()>> m_tasks;
};

// The loop of one process of several that share a clock. While the process
// stands still, its timers and the answers to its calls wait.
class ProcessLoop : public EventLoop {
 public:
  explicit ProcessLoop(VirtualLoop* clock) : m_clock(clock) {}

  absl::Time Now() const override { return m_clock->Now(); }

  std::unique_ptr<Timer> RunAfter(absl::Duration delay,
                                  std::function<void()> task) override {
    auto cancelled = std::make_shared<bool>(false);
    m_clock->Add(delay, [this, cancelled, task = std::move(task)]() {
      Deliver([cancelled, task]() {
        if (!*cancelled) {
          task();
        }
      });
    });
    return std::make_unique<VirtualTimer>(cancelled);
  }

  void Post(std::function<void()> task) override {
    m_clock->Add(absl::ZeroDuration(),
                 [this, task = std::move(task)]() { Deliver(task); });
  }

  // Runs the task, or keeps it while the process stands still.
  void Deliver(std::function<void()> task) {
    if (m_stands_still) {
      m_waiting.push_back(std::move(task));
    } else {
      task();
    }
  }

  // Returns a function that delivers its argument to `done`.
  template <typename T>
  std::function<void(T)> Delivering(std::function<void(T)> done) {
    return [this, done = std::move(done)](T value) {
      Deliver([done, value = std::move(value)]() { done(value); });
    };
  }

  bool StandsStill() const { return m_stands_still; }
  void StandStill() { m_stands_still = true; }
  // Returns what has waited, which the caller must run.
  std::vector<std::function<void()>> GoOn() {
    m_stands_still = false;
    return std::exchange(m_waiting, {});
  }

 private:
  VirtualLoop* const m_clock;
  bool m_stands_still = false;
  std::vector<std::function<void()>> m_waiting;
};

}  // namespace heatherwick

#endif  // TESTS_GATEWAY_VIRTUAL_LOOP_H_
