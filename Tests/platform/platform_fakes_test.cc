// Shows that the fake databases treat orders of promotions as the platform's
// page states it; the soak relies on this to find orders that take effect late.

#include "Tests/platform/platform_fakes.h"

#include <string>
#include <vector>

#include "absl/time/clock.h"
#include "boost/asio/buffer.hpp"
#include "boost/asio/read_until.hpp"
#include "boost/asio/write.hpp"
#include "doctest/doctest.h"

namespace heatherwick::platform {
namespace {

constexpr absl::Duration kLate = absl::Milliseconds(100);

// Never destroyed, because the server threads use it until the process ends.
struct Fixture {
  FakeStore store;
  FakeDatabaseGroup group{"f",
                          3,
                          &store,
                          {absl::ZeroDuration(), absl::ZeroDuration()}};
};

TEST_CASE("FakeDatabaseGroup_OrderWithDelay_TakesEffectLater") {
  auto* const fixture = new Fixture();
  FakeDatabaseGroup& group = fixture->group;
  CHECK(group.Promote("f-1", kLate) == 200);
  CHECK(group.Primary() == "f-0");
  CHECK(group.Promote("f-2", absl::ZeroDuration()) == 200);
  CHECK(group.Primary() == "f-2");
  absl::SleepFor(3 * kLate);
  CHECK(group.Primary() == "f-1");
}

TEST_CASE("FakeDatabaseGroup_OrderedDatabaseDown_IsRefusedWithoutEffect") {
  auto* const fixture = new Fixture();
  FakeDatabaseGroup& group = fixture->group;
  group.Crash("f-1");
  CHECK(group.Promote("f-1", absl::ZeroDuration()) == 409);
  group.Restart("f-1");
  CHECK(group.Primary() == "f-0");
  CHECK(group.Promote("f-0", absl::ZeroDuration()) == 200);
  CHECK(group.Primary() == "f-0");
  CHECK(group.Promote("f-1", kLate) == 200);
  group.Crash("f-1");
  absl::SleepFor(3 * kLate);
  CHECK(group.Primary() == "f-0");
}

// The answer to START, which ends with the term and the end of the log.
std::string StartAnswer(const std::string& address, const std::string& id) {
  boost::asio::io_context context;
  boost::asio::ip::tcp::socket socket(context);
  const size_t colon = address.find(':');
  socket.connect({boost::asio::ip::make_address(address.substr(0, colon)),
                  static_cast<uint16_t>(std::stoi(address.substr(colon + 1)))});
  boost::asio::write(socket, boost::asio::buffer("START f - " + id + "\r\n"));
  std::string answer;
  boost::asio::read_until(socket, boost::asio::dynamic_buffer(answer), "\r\n");
  return answer;
}

TEST_CASE("FakeDatabaseGroup_FirstTerm_IsThatOfAllDatabases") {
  auto* const store = new FakeStore();
  FakeGroupOptions options{absl::ZeroDuration(), absl::ZeroDuration()};
  options.first_term = 3;
  auto* const addresses = new std::vector<std::string>();
  auto* const group = new FakeDatabaseGroup(
      "f", 2, store, options, [addresses](const std::string& address) {
        if (addresses->size() < 2) {
          addresses->push_back(address);
        }
        return address;
      });
  CHECK(StartAnswer(addresses->at(0), "f-0") == "READY I 3.3\r\n");
  CHECK(StartAnswer(addresses->at(1), "f-1") == "READY I 3.3\r\n");
  CHECK(group->Promote("f-1", absl::ZeroDuration()) == 200);
  CHECK(StartAnswer(addresses->at(1), "f-1") == "READY I 4.4\r\n");
}

}  // namespace
}  // namespace heatherwick::platform
