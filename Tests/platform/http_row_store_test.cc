// Guards against errors of the store's client that quote the store's rows,
// which hold the keys of workspaces.

#include <chrono>
#include <optional>
#include <string>

#include "Source/gateway/asio_event_loop.h"
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

TEST_CASE("HttpRowStore_ResponseIsCutOff_ErrorQuotesNoRow") {
  // Never destroyed, because its threads run until the process ends.
  static auto* const server = new LoopbackServer([](tcp::socket socket) {
    boost::beast::flat_buffer buffer;
    error_code error;
    http::request<http::string_body> request;
    http::read(socket, buffer, request, error);
    http::response<http::string_body> response(http::status::ok, 11);
    response.body() =
        R"({"ver":1,"rows":[{"key":"config","ver":1,"value":"c2VjcmV0)";
    response.prepare_payload();
    http::write(socket, response, error);
  });
  const Result<Endpoint> endpoint = ParseEndpoint(server->Address());
  REQUIRE(Ok(endpoint));
  boost::asio::io_context context;
  AsioEventLoop loop(&context);
  HttpRowStore store(&context, &loop, ValueOf(endpoint));
  std::optional<Error> failure;
  store.ReadTable("op", absl::Seconds(5), [&](const Result<RowChanges>& read) {
    REQUIRE_FALSE(Ok(read));
    failure = ErrorOf(read);
    context.stop();
  });
  context.run_for(std::chrono::seconds(10));
  REQUIRE(failure);
  CHECK(failure->message.find("response is invalid") != std::string::npos);
  CHECK(failure->Describe().find("c2VjcmV0") == std::string::npos);
}

}  // namespace
}  // namespace heatherwick::platform
