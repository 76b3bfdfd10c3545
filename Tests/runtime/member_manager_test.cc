// Tests MemberManager with real gRPC connections on the loopback address.

#include "Source/runtime/member_manager.h"
#include "Source/runtime/grpc_deadline.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "doctest/doctest.h"
#include "grpcpp/server_builder.h"

namespace heatherwick {
namespace {

class FakeListStore : public StoreClient {
 public:
  Result<TableRow> ReadRow(const std::string&, absl::Duration) override {
    return UnavailableError();
  }
  Result<uint64_t> WriteRow(const std::string&,
                            uint64_t,
                            const std::string&,
                            absl::Duration) override {
    return UnavailableError();
  }
  Status PutObject(const std::string&,
                   const std::string&,
                   absl::Duration) override {
    return UnavailableError();
  }
  Result<std::string> GetObject(const std::string&, absl::Duration) override {
    return UnavailableError();
  }
  Result<std::vector<ListedInstance>> ListInstances(absl::Duration) override {
    absl::MutexLock lock(&m_mutex);
    return m_listed;
  }
  void Add(const MemberInfo& info) {
    absl::MutexLock lock(&m_mutex);
    m_listed.push_back(
        {info.id, info.address, info.data_centre, info.region, false});
  }

 private:
  static Error UnavailableError() {
    return {ErrorKind::kUnavailable, "down", "wait"};
  }

  absl::Mutex m_mutex;
  std::vector<ListedInstance> m_listed ABSL_GUARDED_BY(m_mutex);
};

// One instance: a peer service and its member manager.
class Instance : public proto::Peer::Service {
 public:
  Instance(const std::string& id, FakeListStore* store) {
    int port = 0;
    grpc::ServerBuilder builder;
    builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(),
                             &port);
    builder.RegisterService(this);
    MemberManagerOptions options;
    options.own = {id, "", "dc-" + id, "region", "", false};
    options.store = store;
    options.channels = &m_channels;
    options.own_sheet_version = [this] { return m_sheet_version.load(); };
    options.on_peer_sheet = [this](const InstanceId&, const std::string&,
                                   uint64_t version) {
      // Every version that a peer names is reported. Like a sheet manager, this
      // callback ignores versions that are not newer than the instance's own.
      uint64_t own = m_sheet_version;
      while (own < version &&
             !m_sheet_version.compare_exchange_weak(own, version)) {
      }
    };
    m_server = builder.BuildAndStart();
    options.own.address = absl::StrCat("127.0.0.1:", port);
    store->Add(options.own);
    m_manager = std::make_unique<MemberManager>(options);
    m_ready = true;
    m_manager->Start();
  }
  ~Instance() override {
    m_manager->Stop();
    m_server->Shutdown(GrpcDeadlineIn(absl::ZeroDuration()));
    m_server->Wait();
  }

  grpc::Status Probe(grpc::ServerContext*,
                     const proto::ProbeRequest* request,
                     proto::ProbeReply* reply) override {
    if (!m_ready) {
      return {grpc::StatusCode::UNAVAILABLE, "starting"};
    }
    m_manager->Probe(*request, reply);
    return grpc::Status::OK;
  }

  MemberManager& Manager() { return *m_manager; }
  size_t ViewSize() const { return m_manager->Members()->size(); }
  std::atomic<uint64_t> m_sheet_version{1};

 private:
  ChannelPool m_channels;
  std::atomic<bool> m_ready{false};
  std::unique_ptr<MemberManager> m_manager;
  std::unique_ptr<grpc::Server> m_server;
};

class MemberManagerFixture {
 protected:
  MemberManagerFixture() {
    for (const char* id : {"a", "b", "c", "d"}) {
      m_instances.push_back(std::make_unique<Instance>(id, &m_store));
    }
  }

  static bool Eventually(const std::function<bool()>& condition) {
    for (int i = 0; i < 300; ++i) {
      if (condition()) {
        return true;
      }
      absl::SleepFor(absl::Milliseconds(50));
    }
    return false;
  }
  bool AllViewsReach(size_t count) {
    return Eventually([&] {
      for (const auto& instance : m_instances) {
        if (instance->ViewSize() != count) {
          return false;
        }
      }
      return true;
    });
  }

  FakeListStore m_store;
  std::vector<std::unique_ptr<Instance>> m_instances;
};

// The request path relies on all instances having the same membership view.
TEST_CASE_FIXTURE(MemberManagerFixture,
                  "MemberManager_StartCrashAndLeave_ViewsAgree") {
  REQUIRE(AllViewsReach(4));
  size_t pollers = 0;
  for (const auto& instance : m_instances) {
    pollers += instance->Manager().IsStorePoller() ? 1 : 0;
    CHECK(instance->Manager().HasJoined());
  }
  CHECK(pollers == 2);

  m_instances.pop_back();
  CHECK(AllViewsReach(3));

  m_instances.back()->Manager().Leave();
  CHECK(AllViewsReach(2));
}

// A sheet that only one instance has must reach the others without the store.
TEST_CASE_FIXTURE(MemberManagerFixture,
                  "MemberManager_NewerSheetAtOne_IsReportedToAll") {
  REQUIRE(AllViewsReach(4));
  m_instances[0]->m_sheet_version = 9;
  CHECK(Eventually([&] {
    for (const auto& instance : m_instances) {
      if (instance->m_sheet_version != 9) {
        return false;
      }
    }
    return true;
  }));
}

// Guards against races between requests, which read the view and report
// failures, and probes, which change the view.
TEST_CASE_FIXTURE(MemberManagerFixture,
                  "MemberManager_ConcurrentReports_EndCleanly") {
  REQUIRE(AllViewsReach(4));
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (int i = 0; i < 4; ++i) {
    threads.emplace_back([&] {
      for (int round = 0; round < 200; ++round) {
        for (const auto& instance : m_instances) {
          instance->Manager().ReportUnreachable("c");
          CHECK(!instance->Manager().Members()->empty());
        }
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  CHECK(AllViewsReach(4));
}

}  // namespace
}  // namespace heatherwick
