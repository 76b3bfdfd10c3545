// Shows that soaks that run at the same time do not reach each other's
// instances.

#include "Tests/platform/soak/port_block.h"

#include "doctest/doctest.h"

namespace heatherwick::platform {
namespace {

using boost::asio::ip::tcp;

TEST_CASE("PortBlock_AnotherProcessListens_IsRefused") {
  const PortBlock block;
  CHECK_NOTHROW(block.RequireUnused());
  for (int offset = 0; offset < 4; ++offset) {
    boost::asio::io_context context;
    const tcp::acceptor other(
        context, {boost::asio::ip::make_address("127.0.0.1"),
                  static_cast<uint16_t>(block.FirstPort() + offset)});
    CHECK_THROWS_AS(block.RequireUnused(), PortTakenError);
  }
  CHECK_NOTHROW(block.RequireUnused());
}

TEST_CASE("PortBlock_WhileItLives_GuardPortCannotBeBound") {
  const PortBlock block;
  boost::asio::io_context context;
  tcp::acceptor other(context);
  other.open(tcp::v4());
  boost::system::error_code error;
  other.bind({boost::asio::ip::make_address("127.0.0.1"),
              static_cast<uint16_t>(block.FirstPort() - 1)},
             error);
  CHECK(error == boost::asio::error::address_in_use);
}

}  // namespace
}  // namespace heatherwick::platform
