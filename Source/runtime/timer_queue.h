// Runs functions at given times on one thread of its own.

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
  // Runs what is still queued, whatever its time, and joins the thread.
  ~TimerQueue();

  // Thread-safe. `work` must be short: it delays every other function.
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
