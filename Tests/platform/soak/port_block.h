// Ports for one instance that no other soak on this machine uses.

#ifndef TESTS_PLATFORM_SOAK_PORT_BLOCK_H_
#define TESTS_PLATFORM_SOAK_PORT_BLOCK_H_

#include <cstdint>
#include <stdexcept>

#include "boost/asio/io_context.hpp"
#include "boost/asio/ip/tcp.hpp"

namespace heatherwick::platform {

// Another process uses a port of this soak. Callers may have reached it, so
// nothing that this soak has seen counts.
class PortTakenError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Four consecutive ports. They are chosen at random, not from the seed of the
// soak. The port before them stays bound as a guard as long as the object
// lives: a soak whose guard port is taken chooses other ports.
class PortBlock {
 public:
  PortBlock();

  uint16_t FirstPort() const { return m_first_port; }
  // Throws PortTakenError when a process listens on one of the ports. Called
  // while the instance does not run.
  void RequireUnused() const;

 private:
  boost::asio::io_context m_context;
  boost::asio::ip::tcp::acceptor m_guard;
  uint16_t m_first_port = 0;
};

}  // namespace heatherwick::platform

#endif  // TESTS_PLATFORM_SOAK_PORT_BLOCK_H_
