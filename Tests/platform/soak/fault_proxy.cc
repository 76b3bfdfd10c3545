// One thread a connection moves the bytes of both directions.

#include "Tests/platform/soak/fault_proxy.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utility>

#include "absl/time/clock.h"
#include "platform/node_settings.h"

namespace heatherwick::platform {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr absl::Duration kDelay = absl::Milliseconds(120);
constexpr int kPollMs = 10;

void ResetOnClose(int descriptor) {
  const linger abort_connection{1, 0};
  setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &abort_connection,
             sizeof(abort_connection));
}

}  // namespace

FaultProxy::FaultProxy(std::string target)
    : m_target(std::move(target)),
      m_server([this](tcp::socket caller) { Serve(std::move(caller)); }) {}

bool FaultProxy::Forward(int from, int to, bool answers, bool* lossy) {
  char bytes[16384];
  const ssize_t size = read(from, bytes, sizeof(bytes));
  if (size <= 0) {
    return true;
  }
  const LinkFault fault = m_fault;
  if (fault == LinkFault::kDelayed) {
    absl::SleepFor(kDelay);
  }
  // After a gap nothing may pass, or answers would meet other questions.
  if ((fault == LinkFault::kAnswersLost || *lossy) && answers) {
    *lossy = true;
    return false;
  }
  for (ssize_t sent = 0; sent < size;) {
    const ssize_t written =
        send(to, bytes + sent, static_cast<size_t>(size - sent), MSG_NOSIGNAL);
    if (written <= 0) {
      return true;
    }
    sent += written;
  }
  return false;
}

void FaultProxy::Serve(tcp::socket caller) {
  const Result<Endpoint> target = ParseEndpoint(m_target);
  boost::asio::io_context context;
  tcp::socket server(context);
  error_code error;
  const uint64_t generation = m_generation;
  server.connect(
      tcp::endpoint(boost::asio::ip::make_address(ValueOf(target).host),
                    ValueOf(target).port),
      error);
  if (error) {
    ResetOnClose(caller.native_handle());
    return;
  }
  server.set_option(tcp::no_delay(true), error);
  bool lossy = false;  // Bytes are missing; the connection cannot go on.
  bool ended = false;
  while (!ended) {
    pollfd ready[2] = {{caller.native_handle(), POLLIN, 0},
                       {server.native_handle(), POLLIN, 0}};
    if (m_fault == LinkFault::kSilent) {
      absl::SleepFor(absl::Milliseconds(kPollMs));
    } else if (poll(ready, 2, kPollMs) > 0) {
      ended = (ready[0].revents != 0 &&
               Forward(ready[0].fd, ready[1].fd, false, &lossy)) ||
              (ready[1].revents != 0 &&
               Forward(ready[1].fd, ready[0].fd, true, &lossy));
    }
    const bool reset = m_generation != generation ||
                       (lossy && m_fault != LinkFault::kAnswersLost);
    if (reset) {
      ResetOnClose(caller.native_handle());
      ResetOnClose(server.native_handle());
      ended = true;
    }
  }
}

}  // namespace heatherwick::platform
