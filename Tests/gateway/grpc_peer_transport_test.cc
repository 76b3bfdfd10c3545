// Guards against a peer's reply that is larger than it may be costing more than
// its call, and against errors that say too much about what the peer did.

#include "Source/gateway/grpc_peer_transport.h"

#include <memory>
#include <optional>
#include <string>

#include "Source/gateway/asio_event_loop.h"
#include "Source/proto/leadership.grpc.pb.h"
#include "absl/strings/str_cat.h"
#include "boost/asio/executor_work_guard.hpp"
#include "boost/asio/io_context.hpp"
#include "boost/asio/ip/tcp.hpp"
#include "doctest/doctest.h"
#include "grpcpp/security/server_credentials.h"
#include "grpcpp/server_builder.h"

namespace heatherwick {
namespace {

// More than gRPC's limit of 4 MiB, which both sides keep.
constexpr size_t kOversizedBytes = 5 << 20;
constexpr absl::Duration kTimeout = absl::Seconds(10);

uint16_t FreePort() {
  using boost::asio::ip::tcp;
  boost::asio::io_context context;
  tcp::acceptor acceptor(
      context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
  return acceptor.local_endpoint().port();
}

// A peer that runs what it is sent and then fails the call.
class FailingPeer : public proto::Leadership::Service {
 public:
  grpc::Status Run(grpc::ServerContext*,
                   const proto::RunRequest*,
                   proto::RunReply*) override {
    ++runs;
    return status;
  }

  grpc::Status status;
  int runs = 0;
};

class GrpcPeerTransportFixture {
 protected:
  GrpcPeerTransportFixture() {
    GrpcPeerTransport::Responders responders;
    responders.fetch = [](const FetchQuery& query) {
      return Result<std::string>(std::string(
          query.key == "oversized" ? kOversizedBytes : size_t{10}, 'x'));
    };
    responders.run = [](const RunQuery& query,
                        const std::function<void(RunResponse)>& answer) {
      RunResponse response;
      response.replies.emplace_back();
      response.replies.back().rows.push_back(std::string(
          query.target == "oversized" ? kOversizedBytes : size_t{10}, 'x'));
      answer(response);
    };
    m_server = std::make_unique<GrpcPeerTransport>(&m_loop, responders);
    REQUIRE(Ok(m_server->Listen(m_address)));
  }

  // Returns the length of the answer, or nothing if the call fails.
  std::optional<size_t> Fetch(const std::string& key) {
    FetchQuery query;
    query.key = key;
    std::optional<size_t> length;
    m_client.Fetch(m_address, query, kTimeout,
                   [this, &length](const Result<std::string>& result) {
                     if (Ok(result)) {
                       length = ValueOf(result).size();
                     }
                     m_context.stop();
                   });
    m_loop.Run();
    m_context.restart();
    return length;
  }

  std::optional<size_t> Run(const std::string& target) {
    RunQuery query;
    query.target = target;
    query.commands.emplace_back();
    std::optional<size_t> length;
    m_client.Run(m_address, query, kTimeout,
                 [this, &length](const Result<RunResponse>& result) {
                   if (Ok(result)) {
                     length = ValueOf(result).replies.at(0).rows.at(0).size();
                   }
                   m_context.stop();
                 });
    m_loop.Run();
    m_context.restart();
    return length;
  }

  // Returns the kind of the error with which a call to `address` fails.
  std::optional<ErrorKind> RunError(const std::string& address) {
    RunQuery query;
    query.commands.emplace_back();
    std::optional<ErrorKind> kind;
    m_client.Run(address, query, kTimeout,
                 [this, &kind](const Result<RunResponse>& result) {
                   if (!Ok(result)) {
                     kind = ErrorOf(result).kind;
                   }
                   m_context.stop();
                 });
    m_loop.Run();
    m_context.restart();
    return kind;
  }

  boost::asio::io_context m_context{1};
  // The loop waits for calls, which run in threads of gRPC.
  const boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      m_work = boost::asio::make_work_guard(m_context);
  AsioEventLoop m_loop{&m_context};
  const std::string m_address = absl::StrCat("127.0.0.1:", FreePort());
  std::unique_ptr<GrpcPeerTransport> m_server;
  GrpcPeerTransport m_client{&m_loop, {}};
};

TEST_CASE_FIXTURE(
    GrpcPeerTransportFixture,
    "GrpcPeerTransport_OversizedPeerResponse_CostsThatCallAlone") {
  CHECK(Fetch("small") == 10);
  CHECK(Fetch("oversized") == std::nullopt);
  CHECK(Fetch("small") == 10);
}

TEST_CASE_FIXTURE(
    GrpcPeerTransportFixture,
    "GrpcPeerTransport_OversizedLendersReply_CostsThatCallAlone") {
  CHECK(Run("small") == 10);
  CHECK(Run("oversized") == std::nullopt);
  CHECK(Run("small") == 10);
}

// A lender that ran the commands must not be taken for one that did not get
// them: the commands would run again.
TEST_CASE_FIXTURE(GrpcPeerTransportFixture,
                  "GrpcPeerTransport_CallRanAndFailsAsRefused_MayHaveRun") {
  FailingPeer peer;
  const std::string address = absl::StrCat("127.0.0.1:", FreePort());
  grpc::ServerBuilder builder;
  builder.AddListeningPort(address, grpc::InsecureServerCredentials());
  builder.RegisterService(&peer);
  const std::unique_ptr<grpc::Server> server = builder.BuildAndStart();
  REQUIRE(server != nullptr);
  for (const char* message :
       {"recvmsg:Connection refused",
        "Connection refused: failed to connect to all addresses"}) {
    CAPTURE(message);
    peer.runs = 0;
    peer.status = {grpc::StatusCode::UNAVAILABLE, message};
    CHECK(RunError(address) == ErrorKind::kUnavailable);
    CHECK(peer.runs == 1);
  }
}

TEST_CASE_FIXTURE(GrpcPeerTransportFixture,
                  "GrpcPeerTransport_NobodyListens_CallIsKnownNotToBeSent") {
  CHECK(RunError(absl::StrCat("127.0.0.1:", FreePort())) ==
        ErrorKind::kNotSent);
}

}  // namespace
}  // namespace heatherwick
