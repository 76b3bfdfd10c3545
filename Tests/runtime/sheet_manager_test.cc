// Tests the sheet manager with an in-memory store and a peer over gRPC.

#include "Source/runtime/sheet_manager.h"
#include "Source/base/steady_clock.h"

#include <memory>
#include <string>
#include <vector>

#include "Source/proto/peer.grpc.pb.h"
#include "Tests/runtime/memory_store.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "doctest/doctest.h"
#include "grpcpp/security/server_credentials.h"
#include "grpcpp/server.h"
#include "grpcpp/server_builder.h"

namespace heatherwick {
namespace {

std::string SheetText(uint64_t share) {
  return absl::StrCat(
      "record,name,group,region,data_centre,address,slots,connections,"
      "max_age,repeatable,share\ngroup,g,,r,,,,,,,\n"
      "target,t,g,,dc1,127.0.0.1:1,2,16,,,\ncaller,c,,,,,,,,,",
      share, "\n");
}

// Serves the sheet of a manager to the other instances.
class PeerServer : public proto::Peer::Service {
 public:
  explicit PeerServer(SheetSource* sheets) : m_sheets(sheets) {
    grpc::ServerBuilder builder;
    builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(),
                             &m_port);
    builder.RegisterService(this);
    m_server = builder.BuildAndStart();
  }

  grpc::Status FetchSheet(grpc::ServerContext*,
                          const proto::FetchSheetRequest* request,
                          proto::FetchSheetReply* reply) override {
    m_sheets->FetchSheet(*request, reply);
    return grpc::Status::OK;
  }

  std::string Address() const { return absl::StrCat("127.0.0.1:", m_port); }

 private:
  SheetSource* const m_sheets;
  int m_port = 0;
  std::unique_ptr<grpc::Server> m_server;
};

class SheetManagerFixture {
 protected:
  std::unique_ptr<SheetManager> Start(
      const std::string& id,
      bool poller,
      const std::vector<std::string>& peers = {}) {
    SheetManagerOptions options;
    options.own_id = id;
    options.store = &m_store;
    options.channels = &m_channels;
    options.record = [](const DecisionRecord&) {};
    options.is_poller = [poller] { return poller; };
    options.peer_addresses = [peers] { return peers; };
    options.submission_timeout = absl::Milliseconds(300);
    return std::make_unique<SheetManager>(options);
  }

  static proto::SubmitSheetReply Submit(SheetManager* manager,
                                        uint64_t share,
                                        uint64_t base,
                                        const std::string& by = "ana") {
    proto::SubmitSheetRequest request;
    request.set_content(SheetText(share));
    request.set_base_version(base);
    request.set_submitted_by(by);
    proto::SubmitSheetReply reply;
    manager->SubmitSheet(request, &reply);
    return reply;
  }

  static bool Reaches(SheetManager* manager, uint64_t version) {
    return manager->WaitFor(version, SteadyNow() + absl::Seconds(8));
  }

  MemoryStore m_store;
  ChannelPool m_channels;
};

TEST_CASE_FIXTURE(SheetManagerFixture,
                  "SheetManager_SubmittedElsewhere_PollerAndPeerAdoptIt") {
  const auto first = Start("i1", false);
  const auto poller = Start("i2", true);
  PeerServer server(poller.get());
  const auto third = Start("i3", false, {server.Address()});
  REQUIRE(Submit(first.get(), 4, 0).accepted());
  CHECK(first->Current().version == 1);
  CHECK(first->Current().sheet->callers.at("c").share == 4);
  CHECK(Reaches(poller.get(), 1));
  REQUIRE(Reaches(third.get(), 1));
  REQUIRE(Submit(first.get(), 5, 1).accepted());
  CHECK(first->Current().version == 2);
  REQUIRE(Reaches(poller.get(), 2));
  third->ReportVersion(2, server.Address());
  // Without ReportVersion, the manager would read the newest version from the
  // store only after more than 3 s.
  CHECK(third->WaitFor(2, SteadyNow() + absl::Seconds(3)));
  CHECK(third->Current().sheet->callers.at("c").share == 5);
}

// Guards against an instance that cannot start during a store outage.
TEST_CASE_FIXTURE(SheetManagerFixture,
                  "SheetManager_StartWithStoreDown_TakesThePeersSheet") {
  const auto running = Start("i1", true);
  PeerServer server(running.get());
  REQUIRE(Submit(running.get(), 4, 0).accepted());
  m_store.SetDown(true);
  const auto restarted = Start("i2", true, {"127.0.0.1:1", server.Address()});
  CHECK(Reaches(restarted.get(), 1));
  const proto::SubmitSheetReply reply = Submit(restarted.get(), 5, 1);
  CHECK(!reply.accepted());
  CHECK(reply.error_kind() == "unavailable");
  CHECK(restarted->Current().version == 1);
  m_store.SetDown(false);
  CHECK(Submit(restarted.get(), 5, 1).accepted());
  CHECK(Reaches(running.get(), 2));
}

TEST_CASE_FIXTURE(
    SheetManagerFixture,
    "SheetManager_SecondSubmissionOfSameBase_IsRefusedWithHeadOfFirst") {
  const auto first = Start("i1", true);
  const auto second = Start("i2", true);
  REQUIRE(Submit(first.get(), 4, 0, "ana").accepted());
  const proto::SubmitSheetReply reply = Submit(second.get(), 5, 0, "dan");
  CHECK(!reply.accepted());
  CHECK(reply.error_kind() == "conflict");
  CHECK(reply.head().submitted_by() == "ana");
  CHECK(reply.error_message().find("ana") != std::string::npos);
}

// Guards against reporting a submission as failed although it is in force.
TEST_CASE_FIXTURE(SheetManagerFixture,
                  "SheetManager_ReplyToHeadWriteLost_IsAccepted") {
  const auto manager = Start("i1", true);
  m_store.LoseNextHeadReply(/*then_down=*/false);
  const proto::SubmitSheetReply reply = Submit(manager.get(), 4, 0);
  CHECK(reply.accepted());
  CHECK(reply.head().version() == 1);
}

// Guards against reporting "nothing was changed" for a sheet that comes into
// force once the store is available again.
TEST_CASE_FIXTURE(SheetManagerFixture,
                  "SheetManager_StoreDownAfterHeadWrite_OutcomeIsUnknown") {
  const auto manager = Start("i1", true);
  m_store.LoseNextHeadReply(/*then_down=*/true);
  const proto::SubmitSheetReply reply = Submit(manager.get(), 4, 0);
  CHECK(!reply.accepted());
  CHECK(reply.error_kind() == "deadline_exceeded");
  m_store.SetDown(false);
  CHECK(Reaches(manager.get(), 1));
}

TEST_CASE_FIXTURE(SheetManagerFixture,
                  "SheetManager_ManyVersions_OldSheetsAndHeadsAreFound") {
  const auto manager = Start("i1", true);
  for (uint64_t base = 0; base < 25; ++base) {
    REQUIRE(Submit(manager.get(), base + 1, base).accepted());
  }
  proto::SheetHistoryReply history;
  manager->SheetHistory({}, &history);
  REQUIRE(history.heads_size() == 20);
  CHECK(history.heads(0).version() == 25);
  CHECK(history.heads(19).version() == 6);
  proto::GetSheetRequest request;
  request.set_version(2);
  proto::GetSheetReply reply;
  manager->GetSheet(request, &reply);
  CHECK(reply.found());
  CHECK(reply.content() == SheetText(2));
  request.set_version(26);
  reply.Clear();
  manager->GetSheet(request, &reply);
  CHECK(!reply.found());
  CHECK(!reply.error_message().empty());
}

TEST_CASE_FIXTURE(SheetManagerFixture,
                  "SheetManager_SheetWithMistakes_IsNotSubmitted") {
  const auto manager = Start("i1", true);
  const proto::SubmitSheetReply reply = Submit(manager.get(), 0, 0);
  CHECK(!reply.accepted());
  REQUIRE(reply.mistakes_size() == 1);
  CHECK(reply.mistakes(0).row() == 4);
  CHECK(manager->Current().version == 0);
}

}  // namespace
}  // namespace heatherwick
