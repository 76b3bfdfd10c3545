// A caller that sends arbitrary bytes and reads as little as it likes, without
// ever blocking.

#ifndef TESTS_PLATFORM_MISBEHAVING_RAW_CALLER_H_
#define TESTS_PLATFORM_MISBEHAVING_RAW_CALLER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "boost/asio/io_context.hpp"
#include "boost/asio/ip/tcp.hpp"

namespace heatherwick::platform {

class RawCaller {
 public:
  explicit RawCaller(uint16_t port);

  // False once the instance has closed or refused the connection.
  bool Open() const { return m_open; }
  // Adds bytes to those that Push() sends.
  void Append(absl::string_view bytes) {
    m_unsent.append(bytes.data(), bytes.size());
  }
  size_t Unsent() const { return m_unsent.size() - m_sent; }
  // Sends up to `limit` bytes as far as the connection takes them, and returns
  // how many it took.
  size_t Push(size_t limit);
  // Returns up to `limit` of the bytes that have arrived.
  std::string Take(size_t limit);
  // Sends `message` and returns what arrives up to a READY message, the end of
  // the connection or `timeout`.
  std::string Ask(absl::string_view message, absl::Duration timeout);

 private:
  boost::asio::io_context m_context;
  boost::asio::ip::tcp::socket m_socket;
  bool m_open = false;
  std::string m_unsent;
  size_t m_sent = 0;  // Of m_unsent.
};

using Crowd = std::vector<std::unique_ptr<RawCaller>>;

// Sends all that the callers have, `piece` bytes of each in turn, until all is
// sent, no connection takes more, or all of them are closed.
void SendInTurn(const Crowd& crowd, size_t piece);

}  // namespace heatherwick::platform

#endif  // TESTS_PLATFORM_MISBEHAVING_RAW_CALLER_H_
