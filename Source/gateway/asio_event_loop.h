// The event loop implemented with Boost.Asio.

#ifndef SOURCE_GATEWAY_ASIO_EVENT_LOOP_H_
#define SOURCE_GATEWAY_ASIO_EVENT_LOOP_H_

#include <functional>
#include <memory>

#include "Source/gateway/event_loop.h"
#include "absl/time/time.h"
#include "boost/asio/io_context.hpp"

namespace heatherwick {

class AsioEventLoop : public EventLoop {
 public:
  explicit AsioEventLoop(boost::asio::io_context* context);

  absl::Time Now() const override;
  [[nodiscard]] std::unique_ptr<Timer> RunAfter(
      absl::Duration delay,
      std::function<void()> task) override;
  void Post(std::function<void()> task) override;

  // Runs the context until it is stopped. An exception ends only the task that
  // threw it, because a single message or session must not end the process.
  void Run();

 private:
  boost::asio::io_context* const m_context;
};

}  // namespace heatherwick

#endif  // SOURCE_GATEWAY_ASIO_EVENT_LOOP_H_
