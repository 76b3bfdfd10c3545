// Forwards the bytes of both directions of each connection in one thread.

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

constexpr absl::Duration kAddedDelay = absl::Milliseconds(120);
constexpr int kPollIntervalMs = 10;

void ResetOnClose(int descriptor) {
  const linger abort_connection{1, 0};
  setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &abort_connection,
             sizeof(abort_connection));
}

}  // namespace

FaultProxy::FaultProxy(std::string upstream)
    : m_upstream(std::move(upstream)),
      m_server([this](tcp::socket client) { Serve(std::move(client)); }) {}

void FaultProxy::SetFault(LinkFault fault) {
  const LinkFault previous = m_fault.exchange(fault);
  if (previous != LinkFault::kRefused && fault == LinkFault::kRefused) {
    m_server.Close();
  } else if (previous == LinkFault::kRefused && fault != LinkFault::kRefused) {
    m_server.Reopen();
  }
}

bool FaultProxy::Forward(int from,
                         int to,
                         bool from_server,
                         bool* reply_bytes_dropped) {
  char bytes[16384];
  const ssize_t size = read(from, bytes, sizeof(bytes));
  if (size <= 0) {
    return true;
  }
  const LinkFault fault = m_fault;
  if (fault == LinkFault::kDelayed) {
    absl::SleepFor(kAddedDelay);
  }
  // Once reply bytes are missing, no more of them may pass: the client would
  // take later answers for answers to earlier requests.
  if ((fault == LinkFault::kAnswersLost || *reply_bytes_dropped) &&
      from_server) {
    *reply_bytes_dropped = true;
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

void FaultProxy::Serve(tcp::socket client) {
  const Result<Endpoint> upstream = ParseEndpoint(m_upstream);
  boost::asio::io_context context;
  tcp::socket server(context);
  error_code error;
  const uint64_t initial_reset_count = m_reset_count;
  server.connect(
      tcp::endpoint(boost::asio::ip::make_address(ValueOf(upstream).host),
                    ValueOf(upstream).port),
      error);
  if (error) {
    ResetOnClose(client.native_handle());
    return;
  }
  server.set_option(tcp::no_delay(true), error);
  bool reply_bytes_dropped = false;  // If so, the connection is unusable.
  bool ended = false;
  while (!ended) {
    pollfd ready[2] = {{client.native_handle(), POLLIN, 0},
                       {server.native_handle(), POLLIN, 0}};
    if (m_fault == LinkFault::kSilent) {
      absl::SleepFor(absl::Milliseconds(kPollIntervalMs));
    } else if (poll(ready, 2, kPollIntervalMs) > 0) {
      ended = (ready[0].revents != 0 && Forward(ready[0].fd, ready[1].fd, false,
                                                &reply_bytes_dropped)) ||
              (ready[1].revents != 0 &&
               Forward(ready[1].fd, ready[0].fd, true, &reply_bytes_dropped));
    }
    const bool reset =
        m_reset_count != initial_reset_count ||
        (reply_bytes_dropped && m_fault != LinkFault::kAnswersLost);
    if (reset) {
      ResetOnClose(client.native_handle());
      ResetOnClose(server.native_handle());
      ended = true;
    }
  }
}

}  // namespace heatherwick::platform
