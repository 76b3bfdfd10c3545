// Guards against an unexpected error in one task that ends the whole process.

#include "Source/gateway/asio_event_loop.h"

#include <map>
#include <memory>
#include <stdexcept>

#include "boost/asio/io_context.hpp"
#include "doctest/doctest.h"

namespace heatherwick {
namespace {

TEST_CASE("AsioEventLoop_TaskThrows_LaterTasksRun") {
  boost::asio::io_context context{1};
  AsioEventLoop loop(&context);
  int tasks = 0;
  loop.Post([]() { throw std::runtime_error("malformed"); });
  loop.Post([&tasks]() { ++tasks; });
  const std::unique_ptr<Timer> throwing = loop.RunAfter(
      absl::Milliseconds(1), []() { (void)std::map<int, int>().at(1); });
  const std::unique_ptr<Timer> last =
      loop.RunAfter(absl::Milliseconds(5), [&tasks, &context]() {
        ++tasks;
        context.stop();
      });
  loop.Run();
  CHECK(tasks == 2);
}

}  // namespace
}  // namespace heatherwick
