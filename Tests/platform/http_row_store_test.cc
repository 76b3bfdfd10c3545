// Guards against errors of the store's client that quote the store's rows,
// which hold the keys of workspaces, and against the mixing of eras.

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Source/gateway/asio_event_loop.h"
#include "Source/gateway/store_version.h"
#include "Tests/platform/platform_fakes.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
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

// Answers the calls of a store's client in order, each with a status, a header
// Store-Era and a body, and keeps the targets of the requests.
class ScriptedStore {
 public:
  struct Answer {
    unsigned status = 200;
    std::string era;
    std::string body;
    absl::Duration delay = absl::ZeroDuration();
  };

  explicit ScriptedStore(std::vector<Answer> answers)
      : m_answers(std::move(answers)),
        m_server([this](tcp::socket socket) { Serve(std::move(socket)); }) {}

  Endpoint Address() const {
    return ValueOf(ParseEndpoint(m_server.Address()));
  }
  std::vector<std::string> Requests() {
    absl::MutexLock lock(&m_mutex);
    return m_requests;
  }

 private:
  void Serve(tcp::socket socket) {
    boost::beast::flat_buffer buffer;
    error_code error;
    while (true) {
      http::request<http::string_body> request;
      http::read(socket, buffer, request, error);
      if (error) {
        return;
      }
      http::response<http::string_body> response(http::status::ok, 11);
      {
        absl::MutexLock lock(&m_mutex);
        const Answer& answer = m_answers.at(m_requests.size());
        m_requests.push_back(
            absl::StrCat(std::string(request.target()), request.body()));
        absl::SleepFor(answer.delay);
        response.result(answer.status);
        if (!answer.era.empty()) {
          response.set("Store-Era", answer.era);
        }
        response.body() = answer.body;
      }
      response.prepare_payload();
      http::write(socket, response, error);
    }
  }

  const std::vector<Answer> m_answers;
  absl::Mutex m_mutex;
  std::vector<std::string> m_requests;
  LoopbackServer m_server;
};

class EraFixture {
 protected:
  // The stand-in is never destroyed, because its threads run until the process
  // ends.
  void Start(std::vector<ScriptedStore::Answer> answers) {
    m_server = new ScriptedStore(std::move(answers));
    m_store.emplace(&m_context, &m_loop, m_server->Address());
  }

  static std::string Rows(uint64_t version) {
    return absl::StrCat(R"({"rows":[],"hasMore":false,"nowMs":5,"ver":)",
                        version, "}");
  }

  template <typename Value>
  std::function<void(Result<Value>)> Keep(std::optional<Result<Value>>* kept) {
    return [this, kept](Result<Value> result) {
      *kept = std::move(result);
      m_context.stop();
    };
  }
  void Run() {
    m_context.restart();
    m_context.run_for(std::chrono::seconds(10));
  }

  Result<RowChanges> Read() {
    std::optional<Result<RowChanges>> read;
    m_store->ReadTable("t", kTimeout, Keep(&read));
    Run();
    return *read;
  }
  Result<RowChanges> Poll(uint64_t version) {
    std::optional<Result<RowChanges>> polled;
    m_store->PollChanges("t", version, absl::ZeroDuration(), kTimeout,
                         Keep(&polled));
    Run();
    return *polled;
  }
  Result<uint64_t> Commit(uint64_t era, uint64_t expected) {
    std::optional<Result<uint64_t>> committed;
    RowTransaction transaction{"t", {{"k", "", expected, false}}, {}, {}, era};
    transaction.writes = {{"k", "x", 0, false}};
    m_store->Commit(transaction, kTimeout, Keep(&committed));
    Run();
    return *committed;
  }

  static constexpr absl::Duration kTimeout = absl::Seconds(5);

  boost::asio::io_context m_context;
  AsioEventLoop m_loop{&m_context};
  ScriptedStore* m_server = nullptr;
  std::optional<HttpRowStore> m_store;
};

TEST_CASE_FIXTURE(EraFixture, "HttpRowStore_VersionsAreQualifiedByTheEra") {
  Start({{200, "2", Rows(7)}, {200, "2", R"({"ver":8,"nowMs":5})"}});
  const Result<RowChanges> read = Read();
  REQUIRE(Ok(read));
  CHECK(ValueOf(read).version == QualifyVersion(2, 7));
  const Result<uint64_t> committed = Commit(2, QualifyVersion(2, 5));
  REQUIRE(Ok(committed));
  CHECK(ValueOf(committed) == QualifyVersion(2, 8));
  // The store knows plain numbers only.
  CHECK(m_server->Requests()[1].find(R"("ver":5)") != std::string::npos);
}

// The version of the era before stands for other changes now.
TEST_CASE_FIXTURE(EraFixture, "HttpRowStore_EraChangesInPoll_TableMustBeRead") {
  Start({{200, "1", Rows(7)}, {200, "2", Rows(9)}});
  REQUIRE(Ok(Read()));
  Result<RowChanges> polled = Poll(QualifyVersion(1, 7));
  REQUIRE_FALSE(Ok(polled));
  CHECK(ErrorOf(polled).kind == ErrorKind::kNotFound);
  // The next poll from that version is not even sent.
  polled = Poll(QualifyVersion(1, 7));
  REQUIRE_FALSE(Ok(polled));
  CHECK(ErrorOf(polled).kind == ErrorKind::kNotFound);
  CHECK(m_server->Requests().size() == 2);
}

// A transaction that meets the next era must not be taken for one that has
// succeeded, whatever the answer's status is.
TEST_CASE_FIXTURE(EraFixture, "HttpRowStore_EraChangesInCommit_IsAConflict") {
  Start({{200, "1", Rows(7)}, {200, "2", R"({"ver":8,"nowMs":5})"}});
  REQUIRE(Ok(Read()));
  for (int attempt = 0; attempt < 2; ++attempt) {
    CAPTURE(attempt);
    const Result<uint64_t> committed = Commit(1, QualifyVersion(1, 7));
    REQUIRE_FALSE(Ok(committed));
    CHECK(ErrorOf(committed).kind == ErrorKind::kConflict);
  }
  CHECK(m_server->Requests().size() == 2);  // The second was not sent.
}

TEST_CASE_FIXTURE(EraFixture, "HttpRowStore_AnswerOfEarlierEra_IsNotUsed") {
  Start({{200, "2", Rows(7)}, {200, "1", Rows(9)}, {200, "", Rows(9)}});
  REQUIRE(Ok(Read()));
  for (const char* const kind : {"earlier", "none"}) {
    CAPTURE(kind);
    const Result<RowChanges> polled = Poll(QualifyVersion(2, 7));
    REQUIRE_FALSE(Ok(polled));
    CHECK(ErrorOf(polled).kind == ErrorKind::kUnavailable);
  }
}

// An answer that takes less than a millisecond, as in the test above, has the
// same age whether or not the clock is taken for the one of the era before.
TEST_CASE_FIXTURE(EraFixture,
                  "HttpRowStore_LateAnswerOfNewEra_IsAsOldAsItsRequest") {
  Start({{200, "1", Rows(7)},
         {200, "2", R"({"rows":[],"hasMore":false,"nowMs":900000,"ver":7})",
          absl::Milliseconds(300)}});
  REQUIRE(Ok(Read()));
  m_context.restart();
  const absl::Time before = m_loop.Now();
  const Result<RowChanges> read = Read();
  REQUIRE(Ok(read));
  CHECK(ValueOf(read).as_of - before < absl::Milliseconds(150));
}

TEST_CASE_FIXTURE(EraFixture, "HttpRowStore_VersionIsTooLarge_IsRejected") {
  Start({{200, "1", Rows(kMaxVersionNumber + 1)}});
  CHECK_FALSE(Ok(Read()));
}

}  // namespace
}  // namespace heatherwick::platform
