// Implements the event loop with Boost.Asio. The timers use
// std::chrono::steady_clock, so changes of the system time do not affect them.

#include "Source/gateway/asio_event_loop.h"

#include <exception>
#include <utility>

#include "Source/base/steady_clock.h"
#include "boost/asio/post.hpp"
#include "boost/asio/steady_timer.hpp"
#include "glog/logging.h"

namespace heatherwick {
namespace {

class AsioTimer : public Timer {
 public:
  AsioTimer(boost::asio::io_context* context,
            absl::Duration delay,
            std::function<void()> task)
      : m_state(std::make_shared<State>(*context)) {
    m_state->task = std::move(task);
    m_state->timer.expires_after(absl::ToChronoNanoseconds(delay));
    m_state->timer.async_wait(
        [state = m_state](const boost::system::error_code& error) {
          if (!error && state->task) {
            const auto expired_task = std::move(state->task);
            state->task = nullptr;
            expired_task();
          }
        });
  }
  ~AsioTimer() override {
    m_state->task = nullptr;
    boost::system::error_code ignored;
    m_state->timer.cancel(ignored);
  }

 private:
  struct State {
    explicit State(boost::asio::io_context& context) : timer(context) {}
    boost::asio::steady_timer timer;
    std::function<void()> task;  // Empty once it has run or was cancelled.
  };

  std::shared_ptr<State> m_state;
};

}  // namespace

AsioEventLoop::AsioEventLoop(boost::asio::io_context* context)
    : m_context(context) {}

absl::Time AsioEventLoop::Now() const {
  return SteadyNow();
}

std::unique_ptr<Timer> AsioEventLoop::RunAfter(absl::Duration delay,
                                               std::function<void()> task) {
  return std::make_unique<AsioTimer>(
      m_context, std::max(delay, absl::ZeroDuration()), std::move(task));
}

void AsioEventLoop::Run() {
  while (!m_context->stopped()) {
    try {
      m_context->run();
    } catch (const std::exception& error) {
      LOG(ERROR) << "event=unexpected_error cause=\"" << error.what()
                 << "\" outcome=task_ended";
    }
  }
}

void AsioEventLoop::Post(std::function<void()> task) {
  boost::asio::post(*m_context, std::move(task));
}

}  // namespace heatherwick
