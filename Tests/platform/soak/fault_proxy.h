// A loopback proxy that injects faults into the connections through it.

#ifndef TESTS_PLATFORM_SOAK_FAULT_PROXY_H_
#define TESTS_PLATFORM_SOAK_FAULT_PROXY_H_

#include <atomic>
#include <cstdint>
#include <string>

#include "Tests/platform/platform_fakes.h"

namespace heatherwick::platform {

enum class LinkFault {
  kNone,
  kDelayed,      // Each forwarded chunk is delayed by kAddedDelay.
  kSilent,       // No bytes pass, and the connections stay open.
  kAnswersLost,  // Requests pass, and answers are dropped.
  kRefused,      // Connections are refused, and those that are open end.
};

class FaultProxy {
 public:
  // Forwards connections to `upstream`, an address of the form IP:PORT.
  explicit FaultProxy(std::string upstream);

  std::string Address() const { return m_server.Address(); }
  // Must be called by one thread only.
  void SetFault(LinkFault fault);
  // Resets all connections that are open now.
  void Reset() { ++m_reset_count; }

 private:
  // Returns when either end closes the connection.
  void Serve(boost::asio::ip::tcp::socket client);
  // Forwards one chunk of bytes. Returns true when the connection has ended.
  bool Forward(int from, int to, bool from_server, bool* reply_bytes_dropped);

  const std::string m_upstream;
  std::atomic<LinkFault> m_fault = LinkFault::kNone;
  // Number of calls of Reset. A connection is reset when this number differs
  // from the number at the start of the connection.
  std::atomic<uint64_t> m_reset_count = 0;
  // Declared last, because its threads use the members above.
  LoopbackServer m_server;
};

}  // namespace heatherwick::platform

#endif  // TESTS_PLATFORM_SOAK_FAULT_PROXY_H_
