// Guards against orders of promotions that wait in the client and are sent
// after the instance's right to send them has ended.

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Tests/platform/platform_fakes.h"
#include "absl/time/time.h"
#include "boost/asio/io_context.hpp"
#include "boost/beast/core.hpp"
#include "boost/beast/http.hpp"
#include "doctest/doctest.h"
#include "platform/http_row_store.h"

namespace heatherwick::platform {
namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

class HttpPromotionApiFixture {
 protected:
  HttpPromotionApiFixture() {
    const std::string address = m_server->Address();
    const size_t colon = address.find(':');
    m_endpoint.host = address.substr(0, colon);
    m_endpoint.port =
        static_cast<uint16_t>(std::stoi(address.substr(colon + 1)));
  }

  // Counts requests and never answers.
  const std::shared_ptr<std::atomic<int>> m_received =
      std::make_shared<std::atomic<int>>(0);
  LoopbackServer* const m_server =
      Keep(new LoopbackServer([received = m_received](tcp::socket socket) {
        boost::beast::flat_buffer buffer;
        error_code error;
        while (!error) {
          http::request<http::string_body> request;
          http::read(socket, buffer, request, error);
          *received += error ? 0 : 1;
        }
      }));
  Endpoint m_endpoint;

 private:
  // Servers are never destroyed, because their threads run until the process
  // ends. Holding them shows the leak checker that this is meant.
  static LoopbackServer* Keep(LoopbackServer* server) {
    static auto* const servers = new std::vector<LoopbackServer*>();
    servers->push_back(server);
    return server;
  }
};

TEST_CASE_FIXTURE(HttpPromotionApiFixture,
                  "HttpPromotionApi_WaitsLongerThanItsTimeout_IsNeverSent") {
  boost::asio::io_context context;
  HttpPromotionApi api(&context, m_endpoint);
  std::vector<ErrorKind> outcomes;
  const auto promote = [&](absl::Duration timeout) {
    api.Promote("g", "db1", "i0", 7, timeout, [&](const Status& status) {
      REQUIRE_FALSE(Ok(status));
      outcomes.push_back(ErrorOf(status).kind);
    });
  };
  promote(absl::Milliseconds(400));
  promote(absl::Milliseconds(200));
  context.run();
  CHECK(outcomes ==
        std::vector<ErrorKind>{ErrorKind::kUnavailable, ErrorKind::kNotSent});
  CHECK(*m_received == 1);
}

// A platform that refuses connections got no order, so that nobody has to wait
// for its effect.
TEST_CASE_FIXTURE(HttpPromotionApiFixture,
                  "HttpPromotionApi_ConnectionRefused_ReportsNotSent") {
  m_server->Close();
  boost::asio::io_context context;
  HttpPromotionApi api(&context, m_endpoint);
  std::optional<ErrorKind> outcome;
  api.Promote("g", "db1", "i0", 7, absl::Milliseconds(400),
              [&](const Status& status) { outcome = ErrorOf(status).kind; });
  context.run();
  CHECK(outcome == ErrorKind::kNotSent);
}

// An instance that stops releases its lock; its queued orders must not follow.
TEST_CASE_FIXTURE(HttpPromotionApiFixture,
                  "HttpPromotionApi_UnsentDiscarded_IsNeverSent") {
  boost::asio::io_context context;
  HttpPromotionApi api(&context, m_endpoint);
  std::vector<ErrorKind> outcomes;
  for (int order = 0; order < 2; ++order) {
    api.Promote("g", "db1", "i0", 7, absl::Milliseconds(400),
                [&](const Status& status) {
                  outcomes.push_back(ErrorOf(status).kind);
                });
  }
  api.DiscardUnsent();
  context.run();
  CHECK(outcomes ==
        std::vector<ErrorKind>{ErrorKind::kNotSent, ErrorKind::kNotSent});
  CHECK(*m_received == 0);
}

}  // namespace
}  // namespace heatherwick::platform
