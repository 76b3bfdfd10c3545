// Uses a non-blocking socket with a small receive buffer.

#include "Tests/platform/misbehaving/raw_caller.h"

#include <algorithm>

#include "Source/base/steady_clock.h"
#include "absl/strings/match.h"
#include "absl/time/clock.h"

namespace heatherwick::platform {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

// Keeps the kernel from taking large responses for a caller that does not read.
constexpr int kReceiveBufferBytes = 4096;
constexpr absl::Duration kPollInterval = absl::Milliseconds(2);
// A crowd whose connections take nothing for this long is not read any more.
constexpr absl::Duration kNoProgressTimeout = absl::Seconds(1);
// Limits the time of a crowd that is read very slowly.
constexpr absl::Duration kSendTimeout = absl::Seconds(15);

}  // namespace

RawCaller::RawCaller(uint16_t port) : m_socket(m_context) {
  error_code error;
  m_socket.open(tcp::v4());
  m_socket.set_option(
      boost::asio::socket_base::receive_buffer_size(kReceiveBufferBytes));
  m_socket.connect({boost::asio::ip::make_address("127.0.0.1"), port}, error);
  m_open = !error;
  m_socket.non_blocking(true, error);
}

size_t RawCaller::Push(size_t limit) {
  if (!m_open || Unsent() == 0) {
    return 0;
  }
  error_code error;
  const size_t sent = m_socket.write_some(
      boost::asio::buffer(m_unsent.data() + m_sent, std::min(limit, Unsent())),
      error);
  m_open = !error || error == boost::asio::error::would_block;
  m_sent += sent;
  if (Unsent() == 0) {
    m_unsent.clear();
    m_sent = 0;
  }
  return sent;
}

std::string RawCaller::Take(size_t limit) {
  std::string bytes(limit, '\0');
  error_code error;
  const size_t taken = m_socket.read_some(boost::asio::buffer(bytes), error);
  m_open &= !error || error == boost::asio::error::would_block;
  bytes.resize(taken);
  return bytes;
}

std::string RawCaller::Ask(absl::string_view message, absl::Duration timeout) {
  const absl::Time end = SteadyNow() + timeout;
  Append(message);
  std::string all;
  while (m_open && SteadyNow() < end && !absl::StrContains(all, "READY ")) {
    Push(Unsent());
    const std::string taken = Take(4096);
    all += taken;
    if (taken.empty()) {
      absl::SleepFor(kPollInterval);
    }
  }
  return all;
}

void SendInTurn(const Crowd& crowd, size_t piece) {
  const absl::Time end = SteadyNow() + kSendTimeout;
  absl::Time progress = SteadyNow();
  bool pending = true;
  while (pending && SteadyNow() < end &&
         SteadyNow() < progress + kNoProgressTimeout) {
    pending = false;
    size_t sent = 0;
    for (const auto& caller : crowd) {
      sent += caller->Push(piece);
      pending |= caller->Open() && caller->Unsent() > 0;
    }
    if (sent > 0) {
      progress = SteadyNow();
    } else {
      absl::SleepFor(kPollInterval);
    }
  }
}

}  // namespace heatherwick::platform
