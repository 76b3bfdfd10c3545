// Tests the connection to a target against a target that replies incorrectly.

#include "Source/runtime/grpc_deadline.h"
#include "Source/runtime/grpc_target_connection.h"

#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "Source/proto/target.grpc.pb.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"
#include "absl/synchronization/notification.h"
#include "absl/time/clock.h"
#include "doctest/doctest.h"
#include "grpcpp/grpcpp.h"

namespace heatherwick {
namespace {

enum class Fault { kNone, kRepeatsOldReply, kRefusesConnection };

// Replies to each statement with its text, except for the configured fault.
class FaultyTarget : public proto::Target::Service {
 public:
  explicit FaultyTarget(Fault fault) : m_fault(fault) {}

  grpc::Status Connect(
      grpc::ServerContext* /*context*/,
      grpc::ServerReaderWriter<proto::StatementReply, proto::StatementRequest>*
          stream) override {
    proto::StatementRequest request;
    proto::StatementReply reply;
    while (stream->Read(&request)) {
      const bool repeats_last_reply =
          m_fault == Fault::kRepeatsOldReply && request.sequence() == 3;
      if (!repeats_last_reply) {
        reply.set_sequence(request.sequence());
        reply.set_result(request.statement());
      }
      if (m_fault == Fault::kRefusesConnection) {
        reply.set_refusal(proto::NO_CONNECTION);
      }
      stream->Write(reply);
    }
    return grpc::Status::OK;
  }

 private:
  const Fault m_fault;
};

class TargetConnectionFixture {
 protected:
  ~TargetConnectionFixture() {
    if (m_connection != nullptr) {
      m_connection->Close();
    }
    if (m_server != nullptr) {
      m_server->Shutdown(GrpcDeadlineIn(absl::ZeroDuration()));
    }
  }

  // Returns whether the connection opened.
  bool Connect(Fault fault) {
    m_target = std::make_unique<FaultyTarget>(fault);
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(),
                             &port);
    builder.RegisterService(m_target.get());
    m_server = builder.BuildAndStart();
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    m_connection =
        std::make_shared<GrpcTargetConnection>(grpc::CreateCustomChannel(
            absl::StrCat("127.0.0.1:", port),
            grpc::InsecureChannelCredentials(), arguments));
    auto opened = std::make_shared<absl::Notification>();
    auto success = std::make_shared<bool>(false);
    m_connection->Open(
        absl::Seconds(5),
        [opened,
         success](const Result<std::shared_ptr<TargetConnection>>& result) {
          *success = Ok(result);
          opened->Notify();
        },
        [] {});
    opened->WaitForNotification();
    return *success;
  }

  // Returns the text of the result, or nullopt if the statement failed.
  std::optional<std::string> Execute(const std::string& statement) {
    proto::StatementRequest request;
    request.set_operation(proto::READ);
    request.set_statement(statement);
    auto ended = std::make_shared<absl::Notification>();
    auto text = std::make_shared<std::optional<std::string>>();
    m_connection->Execute(
        std::move(request),
        [ended, text](const Result<proto::StatementReply>& result) {
          if (Ok(result)) {
            *text = ValueOf(result).result();
          }
          ended->Notify();
        });
    ended->WaitForNotification();
    return *text;
  }

  std::unique_ptr<FaultyTarget> m_target;
  std::unique_ptr<grpc::Server> m_server;
  std::shared_ptr<GrpcTargetConnection> m_connection;
};

// Guards against starting a write on the stream before the previous one has
// ended.
TEST_CASE_FIXTURE(TargetConnectionFixture,
                  "TargetConnection_ManyStatements_EachGetsItsOwnReply") {
  REQUIRE(Connect(Fault::kNone));
  for (int i = 0; i < 500; ++i) {
    const std::string statement = absl::StrCat("GET ", i);
    REQUIRE(Execute(statement) == statement);
  }
}

// Guards against delivering a late reply of one statement to the next one.
TEST_CASE_FIXTURE(TargetConnectionFixture,
                  "TargetConnection_LateReplyOfAnother_ClosesConnection") {
  REQUIRE(Connect(Fault::kRepeatsOldReply));
  CHECK(Execute("first") == "first");
  CHECK(!Execute("second").has_value());
  CHECK(!Execute("third").has_value());
}

TEST_CASE_FIXTURE(TargetConnectionFixture,
                  "TargetConnection_TargetIsFull_DoesNotOpen") {
  CHECK(!Connect(Fault::kRefusesConnection));
}

}  // namespace
}  // namespace heatherwick
