// Runs functions at given times on a thread of its own.

#ifndef SOURCE_RUNTIME_TIMER_QUEUE_H_
#define SOURCE_RUNTIME_TIMER_QUEUE_H_

#include <functional>
#include <map>
#include <thread>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace heatherwick {

class TimerQueue {
 public:
  TimerQueue();
  // Runs all functions that are still queued, even those that are not due yet,
  // and joins the thread.
  ~TimerQueue();

  // Thread-safe. `work` must return quickly, because all functions share one
  // thread.
  void RunAt(absl::Time time, std::function<void()> work);

 private:
  void Run();

  absl::Mutex m_mutex;
  std::multimap<absl::Time, std::function<void()>> m_queue
      ABSL_GUARDED_BY(m_mutex);
  bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
  std::thread m_thread;
};

}  // namespace heatherwick

#endif  // SOURCE_RUNTIME_TIMER_QUEUE_H_
