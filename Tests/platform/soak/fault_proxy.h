// A loopback proxy that harms the connections through it.

#ifndef TESTS_PLATFORM_SOAK_FAULT_PROXY_H_
#define TESTS_PLATFORM_SOAK_FAULT_PROXY_H_

#include <atomic>
#include <cstdint>
#include <string>

#include "Tests/platform/platform_standin.h"

namespace heatherwick::platform {

enum class LinkFault {
  kNone,
  kDelayed,      // Each piece arrives kDelay later.
  kSilent,       // Nothing passes, and nothing is closed.
  kAnswersLost,  // Requests pass, answers vanish.
};

class FaultProxy {
 public:
  // Forwards to `target`, an IP:PORT.
  explicit FaultProxy(std::string target);

  std::string Address() const { return m_server.Address(); }
  void SetFault(LinkFault fault) { m_fault = fault; }
  // Resets all connections that are open now.
  void Reset() { ++m_generation; }

 private:
  // Returns when either end closes.
  void Serve(boost::asio::ip::tcp::socket caller);
  // Moves bytes until the connection ends; false in between.
  bool Forward(int from, int to, bool answers, bool* lossy);

  const std::string m_target;
  std::atomic<LinkFault> m_fault = LinkFault::kNone;
  std::atomic<uint64_t> m_generation = 0;
  LoopbackServer m_server;  // Last: its threads use the members above.
};

}  // namespace heatherwick::platform

#endif  // TESTS_PLATFORM_SOAK_FAULT_PROXY_H_
