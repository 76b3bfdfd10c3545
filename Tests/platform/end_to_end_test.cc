// End-to-end tests that need no external test bench: two instances with real
// sockets, HTTP and gRPC, in front of a fake store and a fake group of
// databases. Guards against components that work alone but not together.

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "Source/base/steady_clock.h"
#include "Tests/platform/log_lines.h"
#include "Tests/platform/misbehaving/raw_caller.h"
#include "Tests/platform/platform_fakes.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "boost/asio/read_until.hpp"
#include "boost/asio/write.hpp"
#include "boost/beast/core.hpp"
#include "boost/beast/http.hpp"
#include "doctest/doctest.h"
#include "platform/platform_daemon.h"

namespace heatherwick::platform {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr absl::Duration kStartupTimeout = absl::Seconds(10);

uint16_t FreePort() {
  boost::asio::io_context context;
  tcp::acceptor acceptor(
      context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
  return acceptor.local_endpoint().port();
}

class Caller {
 public:
  Caller(const Endpoint& endpoint,
         const std::string& database,
         const std::string& key = "u1")
      : m_socket(m_context) {
    error_code error;
    m_socket.connect(tcp::endpoint(boost::asio::ip::make_address(endpoint.host),
                                   endpoint.port),
                     error);
    m_greeting = error
                     ? error.message()
                     : Send(absl::StrCat("START ", database, " ", key, "\r\n"));
  }

  const std::string& Greeting() const { return m_greeting; }

  std::string Query(const std::string& text) {
    static std::atomic<int> number = 0;
    return Send(absl::StrCat("QUERY q", ++number, " ", text, "\r\n"));
  }

  // Sends `bytes` and returns everything received up to READY or up to the end
  // of the connection.
  std::string Send(const std::string& bytes) {
    error_code error;
    boost::asio::write(m_socket, boost::asio::buffer(bytes), error);
    std::string all;
    while (!error) {
      const size_t length = boost::asio::read_until(
          m_socket, boost::asio::dynamic_buffer(m_buffer), "\r\n", error);
      if (error) {
        return all + "closed";
      }
      const std::string line = m_buffer.substr(0, length);
      m_buffer.erase(0, length);
      all += line;
      if (absl::StartsWith(line, "READY")) {
        return all;
      }
    }
    return all + error.message();
  }

 private:
  boost::asio::io_context m_context;
  tcp::socket m_socket;
  std::string m_buffer;
  std::string m_greeting;
};

// Two instances with their fake store and databases. Never destroyed, because
// the server threads use it until the process ends.
struct Deployment {
  Deployment() {
    store.on_promote = [this](const FakePromotionOrder& order) {
      group.Promote(order.id);
      return 200U;
    };
    store.Put("op", "config", Document(3, "orders"));
    store.Put("servers", "foreign", "\xff\xfe");
    for (int index = 0; index < 2; ++index) {
      NodeSettings settings;
      settings.node_name = absl::StrCat("node-", index);
      settings.zone = "z-a";
      settings.callers = {"127.0.0.1", FreePort()};
      settings.readiness = {"127.0.0.1", FreePort()};
      settings.first_internal_port = FreePort();
      settings.store = ValueOf(ParseEndpoint(store.Address()));
      settings.promotion_api = settings.store;
      endpoints.push_back(settings);
      // Shorter than in production, so that the tests of these limits are.
      CallerLimits limits;
      limits.start_timeout = absl::Seconds(1);
      limits.message_timeout = absl::Seconds(1);
      limits.unread_timeout = absl::Seconds(1);
      daemons.push_back(std::make_unique<PlatformDaemon>(settings, limits));
      REQUIRE(Ok(daemons.back()->Start()));
      threads.emplace_back([daemon = daemons.back().get(), this, index]() {
        daemon->Run();
        ended[index] = true;
      });
      threads.back().detach();
    }
  }

  // `workspaces` is the list of them; empty if the document has none.
  static std::string Document(int version,
                              const std::string& database,
                              const std::string& workspaces = "") {
    return absl::StrCat(
        R"({"version":)", version, R"(,"routes":[{"name":"r","host":")",
        database,
        R"(","type":"primary","timeoutMs":3000,"targetLatencyMs":200,)"
        R"("priority":1,"service":"s"},{"name":"v","host":"views",)"
        R"("type":"bounded_staleness","timeoutMs":3000,"targetLatencyMs":200,)"
        R"("priority":2,"service":"s","maxStalenessMs":1500}],)"
        R"("services":[{"name":"s","maxConnections":16}],)",
        workspaces.empty() ? ""
                           : absl::StrCat(R"("tenants":)", workspaces, ","),
        R"("limits":{}})");
  }

  unsigned Ready(int index) const {
    return Get(index, "/heatherwick/ready").result_int();
  }

  boost::beast::http::response<boost::beast::http::string_body> Get(
      int index,
      const std::string& path) const {
    namespace http = boost::beast::http;
    boost::asio::io_context context;
    tcp::socket socket(context);
    error_code error;
    socket.connect(tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"),
                                 endpoints[index].readiness.port),
                   error);
    http::request<http::empty_body> request(http::verb::get, path, 11);
    http::write(socket, request, error);
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> response;
    http::read(socket, buffer, response, error);
    if (error) {
      response.result(0U);
    }
    return response;
  }

  FakeStore store;
  FakeDatabaseGroup group{"s", 3, &store};
  std::vector<NodeSettings> endpoints;
  std::vector<std::unique_ptr<PlatformDaemon>> daemons;
  std::vector<std::thread> threads;
  std::atomic<bool> ended[2] = {false, false};
};

class EndToEndFixture {
 protected:
  EndToEndFixture() {
    CHECK(Within(kStartupTimeout, [this]() {
      return m_deployment.Ready(0) == 200 && m_deployment.Ready(1) == 200;
    }));
  }

  template <typename Condition>
  static bool Within(absl::Duration time, const Condition& condition) {
    const absl::Time end = SteadyNow() + time;
    while (!condition()) {
      if (SteadyNow() >= end) {
        return false;
      }
      absl::SleepFor(absl::Milliseconds(20));
    }
    return true;
  }

  const Endpoint& At(int index) const {
    return m_deployment.endpoints[index].callers;
  }

  Deployment& m_deployment = *new Deployment();
};

TEST_CASE_FIXTURE(EndToEndFixture,
                  "EndToEnd_StatementsAndTransactions_AreServed") {
  Caller caller(At(0), "orders");
  CHECK(absl::StartsWith(caller.Greeting(), "READY I"));
  CHECK(absl::StrContains(caller.Query("WRITE k v1"), "COMPLETE write.s-0"));
  Caller other(At(1), "orders");
  CHECK(absl::StrContains(other.Query("READ k"), "DATAROW v1\r\n"));
  CHECK(absl::StrContains(caller.Query("BEGIN"), "READY T"));
  CHECK(absl::StrContains(caller.Query("WRITE k v2"), "READY T"));
  CHECK(absl::StrContains(caller.Query("COMMIT"), "COMPLETE commit"));
  CHECK(m_deployment.group.Committed() == std::vector<std::string>{"v1", "v2"});
  CHECK(absl::StrContains(caller.Query("PREPARE p WRITE q"), "COMPLETE -"));
  CHECK(absl::StrContains(caller.Query("EXECUTE p k v3"), "COMPLETE write"));
  CHECK(absl::StrContains(caller.Query("EXECUTE x k v3"), "NOSTMT"));
  Caller reader(At(1), "views");
  CHECK(absl::StrContains(reader.Query("READ k"), "COMPLETE read.s-"));
}

// Invalid input gets an error and does not affect other callers.
TEST_CASE_FIXTURE(EndToEndFixture, "EndToEnd_InvalidInput_GetsAnError") {
  Caller good(At(0), "orders");
  CHECK(absl::StrContains(Caller(At(0), "nowhere").Greeting(), "ERROR NODB"));
  Caller bad(At(0), "orders");
  CHECK(absl::StrContains(bad.Query("DROP everything"), "ERROR MALFORMED"));
  CHECK(absl::StrContains(bad.Query("READ k"), "READY I"));
  CHECK(absl::StrContains(bad.Send(std::string((1 << 20) + 16, 'x')),
                          "ERROR TOOBIG"));
  CHECK(absl::StrContains(good.Query("READ k"), "READY I"));
}

TEST_CASE_FIXTURE(EndToEndFixture, "EndToEnd_ConfigurationChanges_IsApplied") {
  Caller caller(At(0), "orders");
  m_deployment.store.Put("op", "config", Deployment::Document(9, "bookings"));
  CHECK(Within(absl::Seconds(3), [this]() {
    return absl::StartsWith(Caller(At(0), "bookings").Greeting(), "READY") &&
           absl::StartsWith(Caller(At(1), "bookings").Greeting(), "READY");
  }));
  CHECK(absl::StrContains(caller.Query("READ k"), "ERROR NODB"));
}

// Keys would let everyone who reads a log, a metric or an error in. All keys
// here contain "hidden", also unknown and withdrawn ones and those of documents
// that cannot be read.
TEST_CASE_FIXTURE(EndToEndFixture, "EndToEnd_Keys_AreInNoLogMetricOrError") {
  LogLines log;
  int version = 10;
  const auto configure = [&](const std::string& workspaces) {
    m_deployment.store.Put(
        "op", "config", Deployment::Document(++version, "orders", workspaces));
    const std::string applied = absl::StrCat("version=", version, " ");
    CHECK(Within(absl::Seconds(5),
                 [&]() { return absl::StrContains(log.Text(), applied); }));
    absl::SleepFor(absl::Milliseconds(300));
  };
  std::string answers;
  configure(R"([{"name":"w","apiKeys":["hidden-w"],"ratePerS":100,"burst":9},)"
            R"({"name":"v","apiKeys":["hidden-v","hidden-w"]},)"
            R"({"name":"u","apiKeys":["hidden-u",7]},{"apiKeys":["hidden-x"]},)"
            R"({"name":"t","apiKeys":["hidden-t"],"ratePerS":"hidden-r"}])");
  Caller caller(At(0), "orders", "hidden-w");
  CHECK(absl::StartsWith(caller.Greeting(), "READY"));
  CHECK(Within(absl::Seconds(5), [&]() {
    answers += caller.Query("WRITE k v1");
    return absl::StrContains(answers, "COMPLETE write");
  }));
  for (const char* key : {"hidden-v", "hidden-u", "hidden-x", "hidden-z"}) {
    const std::string greeting = Caller(At(1), "orders", key).Greeting();
    CHECK(absl::StrContains(greeting, "UNAUTH"));
    answers += greeting;
  }
  answers += Caller(At(0), "nowhere", "hidden-w").Greeting();
  answers += Caller(At(0), "orders", "hidden-a hidden-b").Greeting();
  answers += Caller(At(0), "orders", "hidden-\x01").Greeting();
  answers += caller.Send("START orders hidden-w\r\n");
  answers += caller.Query("hidden-w");
  answers += caller.Query("BEGIN");
  answers += caller.Query("WRITE k v2");
  configure(R"([{"name":"w","apiKeys":["hidden-y"]}])");
  answers += caller.Query("COMMIT");
  CHECK(absl::StrContains(answers, "UNAUTH"));
  for (const char* document :
       {R"({"version":20,"tenants":[{"apiKeys":["hidden-d)",
        R"({"version":20,"tenants":"hidden-d","routes":"hidden-e"})",
        R"(["hidden-d"])"}) {
    m_deployment.store.Put("op", "config", document);
    absl::SleepFor(absl::Milliseconds(300));
  }
  for (int index = 0; index < 2; ++index) {
    const std::string metrics = m_deployment.Get(index, "/metrics").body();
    CHECK(absl::StrContains(metrics, "heatherwick_"));
    CHECK_FALSE(absl::StrContains(metrics, "hidden"));
  }
  CHECK_FALSE(absl::StrContains(answers, "hidden"));
  const std::string text = log.Text();
  CHECK(absl::StrContains(text, "workspace_skipped"));
  CHECK(absl::StrContains(text, "not valid JSON at byte"));
  const size_t found = text.find("hidden");
  CHECK_MESSAGE(found == std::string::npos,
                text.substr(found == std::string::npos ? 0 : found - 100, 200));
  // A target is told the workspace, never the key.
  for (const FakeStatement& statement : m_deployment.group.Statements()) {
    CHECK(statement.workspace == "w");
  }
}

TEST_CASE_FIXTURE(EndToEndFixture, "EndToEnd_PrimaryCrashes_IsReplaced") {
  Caller before(At(0), "orders");
  CHECK(absl::StrContains(before.Query("WRITE k v1"), "COMPLETE"));
  const absl::Time crash = SteadyNow();
  m_deployment.group.Crash("s-0");
  CHECK(Within(kStartupTimeout, [this]() {
    return absl::StrContains(Caller(At(1), "orders").Query("WRITE k v2"),
                             "COMPLETE write.s-");
  }));
  MESSAGE("writes again after ", absl::ToInt64Milliseconds(SteadyNow() - crash),
          " ms");
  CHECK(m_deployment.group.Primary() != "s-0");
  CHECK(absl::StrContains(Caller(At(0), "orders").Query("READ k"), "v2"));
}

// A store that refuses calls must not stop the service while the instances can
// reach each other.
TEST_CASE_FIXTURE(EndToEndFixture, "EndToEnd_StoreBusy_KeepsServing") {
  Caller caller(At(0), "orders");
  CHECK(absl::StrContains(caller.Query("WRITE k v1"), "COMPLETE write"));
  m_deployment.store.SetBusy(true);
  absl::SleepFor(absl::Seconds(4));
  const std::string reply = caller.Query("WRITE k v9");
  CHECK_MESSAGE(absl::StrContains(reply, "COMPLETE write"), reply);
  m_deployment.store.SetBusy(false);
}

// Callers that stop half-way must not hold a connection for ever, and one that
// only waits between its messages must keep it.
TEST_CASE_FIXTURE(EndToEndFixture, "EndToEnd_CallerStops_IsDisconnected") {
  Caller idle(At(0), "orders");
  CHECK(absl::StrContains(idle.Query("READ k"), "READY I"));
  Caller in_transaction(At(0), "orders");
  CHECK(absl::StrContains(in_transaction.Query("BEGIN"), "READY T"));
  RawCaller in_start(At(0).port);
  in_start.Append("STA");
  in_start.Push(3);
  RawCaller in_message(At(0).port);
  in_message.Ask("START orders u1\r\n", absl::Seconds(1));
  in_message.Append("QUERY q1 READ");
  in_message.Push(100);
  // The answers repeat the long name and fill all buffers on the way.
  RawCaller not_reading(At(0).port);
  not_reading.Ask("START orders u1\r\n", absl::Seconds(1));
  for (int index = 0; index < 20; ++index) {
    not_reading.Append(absl::StrCat("QUERY q", index, " EXECUTE ",
                                    std::string(500000, 'x'), " 1\r\n"));
  }
  CHECK(Within(absl::Seconds(10), [&]() {
    in_start.Take(10);
    in_message.Take(10);
    not_reading.Push(100000);
    return !in_start.Open() && !in_message.Open() && !not_reading.Open();
  }));
  CHECK(absl::StrContains(idle.Query("READ k"), "READY I"));
  CHECK(absl::StrContains(in_transaction.Query("COMMIT"), "READY I"));
}

TEST_CASE_FIXTURE(EndToEndFixture, "EndToEnd_StopRequested_EndsGracefully") {
  Caller caller(At(0), "orders");
  CHECK(absl::StrContains(caller.Query("BEGIN"), "READY T"));
  CHECK(absl::StrContains(caller.Query("WRITE k v1"), "READY T"));
  m_deployment.daemons[0]->RequestStop();
  CHECK(Within(absl::Seconds(2),
               [this]() { return m_deployment.Ready(0) == 503; }));
  CHECK(absl::StrContains(caller.Query("COMMIT"), "COMPLETE commit"));
  CHECK(Within(absl::Seconds(6),
               [this]() { return m_deployment.ended[0].load(); }));
}

}  // namespace
}  // namespace heatherwick::platform
