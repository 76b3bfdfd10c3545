// Tests the operators' command line against fake instances in the test's own
// process: exit codes, the order in which instances are tried, and the session
// token.

#include "Source/client/client.h"

#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "Source/proto/operator.grpc.pb.h"
#include "Source/proto/proxy.grpc.pb.h"
#include "Source/runtime/sheet_manager.h"
#include "Tests/runtime/memory_store.h"
#include "absl/strings/str_cat.h"
#include "doctest/doctest.h"
#include "grpcpp/security/server_credentials.h"
#include "grpcpp/server.h"
#include "grpcpp/server_builder.h"
#include "nlohmann/json.hpp"

namespace heatherwick {
namespace {

constexpr char kSheet[] =
    "record,name,group,region,data_centre,address,slots,connections,max_age,"
    "repeatable,share\ngroup,g,,r,,,,,,,\n"
    "target,t,g,,dc1,127.0.0.1:1,2,16,,,\ncaller,c,,,,,,,,,1\n";

// Answers sheet requests from `sheets`, and Execute with a fixed reply.
class FakeInstance : public proto::Operator::Service,
                     public proto::Proxy::Service {
 public:
  explicit FakeInstance(SheetSource* sheets) : m_sheets(sheets) {
    grpc::ServerBuilder builder;
    builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(),
                             &m_port);
    builder.RegisterService(static_cast<proto::Operator::Service*>(this));
    builder.RegisterService(static_cast<proto::Proxy::Service*>(this));
    m_server = builder.BuildAndStart();
  }

  grpc::Status SubmitSheet(grpc::ServerContext*,
                           const proto::SubmitSheetRequest* request,
                           proto::SubmitSheetReply* reply) override {
    m_sheets->SubmitSheet(*request, reply);
    return m_drop_replies ? ConnectionLost() : grpc::Status::OK;
  }
  grpc::Status GetSheet(grpc::ServerContext*,
                        const proto::GetSheetRequest* request,
                        proto::GetSheetReply* reply) override {
    m_sheets->GetSheet(*request, reply);
    return grpc::Status::OK;
  }
  grpc::Status SheetHistory(grpc::ServerContext*,
                            const proto::SheetHistoryRequest* request,
                            proto::SheetHistoryReply* reply) override {
    m_sheets->SheetHistory(*request, reply);
    return grpc::Status::OK;
  }
  grpc::Status ListMembers(grpc::ServerContext*,
                           const proto::ListMembersRequest*,
                           proto::ListMembersReply* reply) override {
    proto::MemberUpdate* member = reply->add_members();
    member->set_id("i1");
    member->set_address(Address());
    member->set_state(proto::ALIVE);
    reply->set_sheet_version(m_sheets->Current().version);
    return grpc::Status::OK;
  }
  grpc::Status Execute(grpc::ServerContext*,
                       const proto::ExecuteRequest* request,
                       proto::ExecuteReply* reply) override {
    ++m_execute_count;
    *reply = m_execute_reply;
    reply->set_token(request->token() + "x");
    return m_drop_replies ? ConnectionLost() : grpc::Status::OK;
  }

  std::string Address() const { return absl::StrCat("127.0.0.1:", m_port); }

  // These are not locked: change them only while no call is in progress.
  // With m_drop_replies, calls run and the connection is lost before the reply.
  bool m_drop_replies = false;
  proto::ExecuteReply m_execute_reply;
  int m_execute_count = 0;

 private:
  static grpc::Status ConnectionLost() {
    return {grpc::StatusCode::UNAVAILABLE, "connection lost"};
  }

  SheetSource* const m_sheets;
  int m_port = 0;
  std::unique_ptr<grpc::Server> m_server;
};

class ClientFixture {
 protected:
  ClientFixture()
      : m_sheets(MakeOptions()),
        m_first_instance(&m_sheets),
        m_second_instance(&m_sheets) {
    std::ofstream(m_sheet_file) << kSheet;
  }
  ~ClientFixture() {
    std::remove(m_sheet_file.c_str());
    std::remove(m_token_file.c_str());
  }

  SheetManagerOptions MakeOptions() {
    SheetManagerOptions options;
    options.own_id = "i1";
    options.store = &m_store;
    options.channels = &m_channels;
    options.record = [](const DecisionRecord&) {};
    options.is_poller = [] { return true; };
    options.peer_addresses = [] { return std::vector<std::string>(); };
    options.submission_timeout = absl::Milliseconds(300);
    return options;
  }

  // Runs a command with three addresses: one where nothing listens, that of the
  // first instance and that of the second instance.
  int Run(std::vector<std::string> arguments) {
    arguments.push_back(absl::StrCat("--instance=127.0.0.1:1,",
                                     m_first_instance.Address(), ",",
                                     m_second_instance.Address()));
    arguments.emplace_back("--timeout=2s");
    m_out.str("");
    m_err.str("");
    return static_cast<int>(RunClient(arguments, {}, &m_out, &m_err));
  }

  int RunWrite() {
    return Run({"execute", "write", "put k v", "--caller=c", "--group=g",
                "--token-file", m_token_file});
  }

  const std::string m_sheet_file =
      absl::StrCat("client_test.", getpid(), ".csv");
  const std::string m_token_file =
      absl::StrCat("client_test.", getpid(), ".token");
  MemoryStore m_store;
  ChannelPool m_channels;
  SheetManager m_sheets;
  FakeInstance m_first_instance;
  FakeInstance m_second_instance;
  std::ostringstream m_out;
  std::ostringstream m_err;
};

// Guards against an exit code that reports success or bad input when another
// submission with the same base was accepted first.
TEST_CASE_FIXTURE(ClientFixture, "Client_SubmitOnOldBase_ExitsWithConflict") {
  CHECK(Run({"sheet", "submit", m_sheet_file, "--base=0"}) == 0);
  CHECK(Run({"sheet", "submit", m_sheet_file, "--base=0",
             "--submitted-by=dan"}) == 5);
  CHECK(m_out.str().find("operator") != std::string::npos);
  CHECK(Run({"sheet", "submit", m_sheet_file}) == 0);
  CHECK(Run({"sheet", "history", "--output=json"}) == 0);
  CHECK(nlohmann::json::parse(m_out.str()).size() == 2);
  CHECK(Run({"sheet", "wait", "2"}) == 0);
  CHECK(Run({"sheet", "wait", "3", "--limit=300ms"}) == 3);
  CHECK(Run({"sheet", "show", "1"}) == 0);
  CHECK(m_out.str() == kSheet);
  CHECK(Run({"sheet", "show", "9"}) == 1);
}

// Guards against a submission that is accepted twice because the reply of the
// first instance was lost and the client sent it to the second one as well.
TEST_CASE_FIXTURE(ClientFixture, "Client_SubmitReplyLost_IsAcceptedOnce") {
  m_first_instance.m_drop_replies = true;
  CHECK(Run({"sheet", "submit", m_sheet_file, "--base=0"}) == 0);
  CHECK(m_sheets.Current().version == 1);
}

TEST_CASE_FIXTURE(ClientFixture,
                  "Client_SubmitWithStoreDown_ExitsWithUnavailableOrUnknown") {
  m_store.SetDown(true);
  CHECK(Run({"sheet", "submit", m_sheet_file, "--base=0"}) == 3);
  m_store.SetDown(false);
  m_store.LoseNextHeadReply(/*then_down=*/true);
  CHECK(Run({"sheet", "submit", m_sheet_file, "--base=0"}) == 4);
  CHECK(m_err.str().find("--submission=cli-") != std::string::npos);
}

// Guards against a write that runs twice because its reply was lost.
TEST_CASE_FIXTURE(ClientFixture, "Client_WriteReplyLost_IsNotSentAgain") {
  m_first_instance.m_drop_replies = true;
  CHECK(RunWrite() == 4);
  CHECK(m_first_instance.m_execute_count == 1);
  CHECK(m_second_instance.m_execute_count == 0);
  CHECK(Run({"execute", "read", "get k", "--caller=c", "--group=g"}) == 1);
  CHECK(m_second_instance.m_execute_count == 1);
}

TEST_CASE_FIXTURE(ClientFixture, "Client_TokenFileGiven_ContinuesTheSession") {
  m_first_instance.m_execute_reply.set_outcome(proto::DONE);
  CHECK(RunWrite() == 0);
  CHECK(RunWrite() == 0);
  std::string token;
  std::ifstream(m_token_file) >> token;
  CHECK(token == "xx");
  m_first_instance.m_execute_reply.set_outcome(proto::NOT_RUN);
  CHECK(RunWrite() == 1);
  m_first_instance.m_execute_reply.set_outcome(proto::UNKNOWN);
  CHECK(RunWrite() == 4);
}

// Guards against a request that runs although its new session token cannot be
// saved, so that the session could not continue.
TEST_CASE_FIXTURE(ClientFixture,
                  "Client_TokenFileNotWritable_RequestIsNotSent") {
  CHECK(Run({"execute", "write", "put k v", "--caller=c", "--group=g",
             "--token-file=absent-folder/token"}) == 2);
  CHECK(m_first_instance.m_execute_count == 0);
}

}  // namespace
}  // namespace heatherwick
