// Implements the thread of the timer queue.

#include "Source/runtime/timer_queue.h"
#include "Source/base/steady_clock.h"

#include <utility>

namespace heatherwick {

TimerQueue::TimerQueue() : m_thread([this] { Run(); }) {}

TimerQueue::~TimerQueue() {
  {
    absl::MutexLock lock(&m_mutex);
    m_stopping = true;
  }
  m_thread.join();
}

void TimerQueue::RunAt(absl::Time time, std::function<void()> work) {
  absl::MutexLock lock(&m_mutex);
  m_queue.emplace(time, std::move(work));
}

void TimerQueue::Run() {
  while (true) {
    std::function<void()> work;
    {
      absl::MutexLock lock(&m_mutex);
      const auto due = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
        return m_stopping ||
               (!m_queue.empty() && m_queue.begin()->first <= SteadyNow());
      };
      const absl::Time next =
          m_queue.empty() ? absl::InfiniteFuture() : m_queue.begin()->first;
      // The condition wakes the thread when an earlier entry is added; the
      // timeout wakes it when the next entry is due.
      const auto changed = [this,
                            next]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
        return m_stopping ||
               (!m_queue.empty() && m_queue.begin()->first < next);
      };
      m_mutex.AwaitWithTimeout(absl::Condition(&changed), next - SteadyNow());
      if (!due()) {
        continue;
      }
      if (m_queue.empty()) {
        return;
      }
      work = std::move(m_queue.begin()->second);
      m_queue.erase(m_queue.begin());
    }
    work();
  }
}

}  // namespace heatherwick
