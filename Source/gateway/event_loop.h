// Time and timers of a single-threaded event loop.

#ifndef SOURCE_GATEWAY_EVENT_LOOP_H_
#define SOURCE_GATEWAY_EVENT_LOOP_H_

#include <functional>
#include <memory>

#include "absl/time/time.h"

namespace heatherwick {

// Cancels its timer when it is destroyed.
class Timer {
 public:
  virtual ~Timer() = default;
};

class EventLoop {
 public:
  virtual ~EventLoop() = default;

  // A monotonic clock that also counts the time during which the machine was
  // suspended, so that a lease cannot outlive a suspension. It is unrelated
  // to the time of day.
  virtual absl::Time Now() const = 0;
  // Runs `task` once after `delay`, on the loop's thread.
  [[nodiscard]] virtual std::unique_ptr<Timer> RunAfter(
      absl::Duration delay,
      std::function<void()> task) = 0;
  // Runs `task` on the loop's thread after the present event.
  virtual void Post(std::function<void()> task) = 0;
};

}  // namespace heatherwick

#endif  // SOURCE_GATEWAY_EVENT_LOOP_H_
