// Reserves blocks of ports by binding their guard ports.

#include "Tests/platform/soak/port_block.h"

#include <random>

#include "absl/strings/str_cat.h"

namespace heatherwick::platform {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

// Below the ports that the system assigns to outgoing connections, and below
// those of Tests/process/cluster.sh.
constexpr uint16_t kFirstBlock = 10000;
constexpr uint16_t kBlockCount = 2000;
constexpr uint16_t kPortsPerInstance = 4;
constexpr uint16_t kBlockSize = kPortsPerInstance + 1;

// Returns false when another socket listens on the port or holds it.
bool Bind(tcp::acceptor* acceptor, uint16_t port, bool reuse_address) {
  error_code error;
  acceptor->open(tcp::v4());
  acceptor->set_option(tcp::acceptor::reuse_address(reuse_address));
  acceptor->bind({boost::asio::ip::make_address("127.0.0.1"), port}, error);
  if (error) {
    acceptor->close();
  }
  return !error;
}

// Returns the first port that is in use, or 0.
uint16_t FirstPortInUse(uint16_t first_port) {
  for (uint16_t port = first_port; port < first_port + kPortsPerInstance;
       ++port) {
    boost::asio::io_context context;
    tcp::acceptor probe(context);
    // Connections that a previous process has left do not count.
    if (!Bind(&probe, port, true)) {
      return port;
    }
  }
  return 0;
}

}  // namespace

PortBlock::PortBlock() : m_guard(m_context) {
  std::random_device random;
  do {
    m_guard.close();
    const auto guard_port = static_cast<uint16_t>(
        kFirstBlock + random() % kBlockCount * kBlockSize);
    if (Bind(&m_guard, guard_port, false)) {
      m_first_port = guard_port + 1;
    }
  } while (!m_guard.is_open() || FirstPortInUse(m_first_port) != 0);
}

void PortBlock::RequireUnused() const {
  const uint16_t port = FirstPortInUse(m_first_port);
  if (port != 0) {
    throw PortTakenError(
        absl::StrCat("another process uses port ", port, " of this soak"));
  }
}

}  // namespace heatherwick::platform
