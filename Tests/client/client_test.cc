// Tests the command line against an instance inside the test: exit codes,
// the order in which instances are tried, and the session's token.

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
    return m_lose_answers ? Lost() : grpc::Status::OK;
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
    ++m_executed;
    *reply = m_reply;
    reply->set_token(request->token() + "x");
    return m_lose_answers ? Lost() : grpc::Status::OK;
  }

  std::string Address() const { return absl::StrCat("127.0.0.1:", m_port); }

  // Set while no call is in progress.
  bool m_lose_answers = false;
  proto::ExecuteReply m_reply;
  int m_executed = 0;

 private:
  static grpc::Status Lost() {
    return {grpc::StatusCode::UNAVAILABLE, "connection lost"};
  }

  SheetSource* const m_sheets;
  int m_port = 0;
  std::unique_ptr<grpc::Server> m_server;
};

class ClientFixture {
 protected:
  ClientFixture()
      : m_sheets(Options()), m_first(&m_sheets), m_second(&m_sheets) {
    std::ofstream(m_sheet_file) << kSheet;
  }
  ~ClientFixture() {
    std::remove(m_sheet_file.c_str());
    std::remove(m_token_file.c_str());
  }

  SheetManagerOptions Options() {
    SheetManagerOptions options;
    options.own_id = "i1";
    options.store = &m_store;
    options.channels = &m_channels;
    options.record = [](const DecisionRecord&) {};
    options.is_poller = [] { return true; };
    options.peer_addresses = [] { return std::vector<std::string>(); };
    options.submission_limit = absl::Milliseconds(300);
    return options;
  }

  // Runs against a dead address, then the first and the second instance.
  int Run(std::vector<std::string> arguments) {
    arguments.push_back(absl::StrCat(
        "--instance=127.0.0.1:1,", m_first.Address(), ",", m_second.Address()));
    arguments.emplace_back("--timeout=2s");
    m_out.str("");
    m_err.str("");
    return static_cast<int>(RunClient(arguments, {}, &m_out, &m_err));
  }

  int Write() {
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
  FakeInstance m_first;
  FakeInstance m_second;
  std::ostringstream m_out;
  std::ostringstream m_err;
};

// Guards against a lost race that looks like success or like bad input.
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

// Guards against a second version when the answer of the first instance is
// lost and the command goes to the second.
TEST_CASE_FIXTURE(ClientFixture, "Client_SubmitAnswerLost_IsAcceptedOnce") {
  m_first.m_lose_answers = true;
  CHECK(Run({"sheet", "submit", m_sheet_file, "--base=0"}) == 0);
  CHECK(m_sheets.Current().version == 1);
}

TEST_CASE_FIXTURE(ClientFixture,
                  "Client_SubmitWithStoreDown_ExitsWithUnavailableOrUnknown") {
  m_store.SetDown(true);
  CHECK(Run({"sheet", "submit", m_sheet_file, "--base=0"}) == 3);
  m_store.SetDown(false);
  m_store.LoseNextHeadAnswer(/*then_down=*/true);
  CHECK(Run({"sheet", "submit", m_sheet_file, "--base=0"}) == 4);
  CHECK(m_err.str().find("--submission=cli-") != std::string::npos);
}

// Guards against a write that runs twice because its answer was lost.
TEST_CASE_FIXTURE(ClientFixture, "Client_WriteAnswerLost_IsNotSentAgain") {
  m_first.m_lose_answers = true;
  CHECK(Write() == 4);
  CHECK(m_first.m_executed == 1);
  CHECK(m_second.m_executed == 0);
  CHECK(Run({"execute", "read", "get k", "--caller=c", "--group=g"}) == 1);
  CHECK(m_second.m_executed == 1);
}

TEST_CASE_FIXTURE(ClientFixture, "Client_TokenFile_ContinuesTheSession") {
  m_first.m_reply.set_outcome(proto::DONE);
  CHECK(Write() == 0);
  CHECK(Write() == 0);
  std::string token;
  std::ifstream(m_token_file) >> token;
  CHECK(token == "xx");
  m_first.m_reply.set_outcome(proto::NOT_RUN);
  CHECK(Write() == 1);
  m_first.m_reply.set_outcome(proto::UNKNOWN);
  CHECK(Write() == 4);
}

// Guards against a request that runs although the session cannot continue.
TEST_CASE_FIXTURE(ClientFixture, "Client_TokenFileNotWritable_NothingRuns") {
  CHECK(Run({"execute", "write", "put k v", "--caller=c", "--group=g",
             "--token-file=absent-folder/token"}) == 2);
  CHECK(m_first.m_executed == 0);
}

}  // namespace
}  // namespace heatherwick
