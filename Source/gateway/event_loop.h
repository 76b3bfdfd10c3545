// Interface of a single-threaded event loop with a clock and timers.

#ifndef SOURCE_GATEWAY_EVENT_LOOP_H_
#define SOURCE_GATEWAY_EVENT_LOOP_H_

#include <functional>
#include <memory>

#include "absl/time/time.h"

namespace heatherwick {

// A pending timer, which is cancelled when this object is destroyed.
class Timer {
 public:
  virtual ~Timer() = default;
};

class EventLoop {
 public:
  virtual ~EventLoop() = default;

  // Returns the time of a monotonic clock that also advances while the machine
  // is suspended, so that leases expire during a suspension. The clock is
  // unrelated to the time of day.
  virtual absl::Time Now() const = 0;
  // Runs `task` once after `delay`, on the loop's thread.
  [[nodiscard]] virtual std::unique_ptr<Timer> RunAfter(
      absl::Duration delay,
      std::function<void()> task) = 0;
  // Runs `task` on the loop's thread after the current event.
  virtual void Post(std::function<void()> task) = 0;
};

}  // namespace heatherwick

#endif  // SOURCE_GATEWAY_EVENT_LOOP_H_
