// Tests MemberManager over real gRPC connections on the loopback address.

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

class ListStore : public StoreClient {
 public:
  Result<TableRow> ReadRow(const std::string&, absl::Duration) override {
    return Down();
  }
  Result<uint64_t> WriteRow(const std::string&,
                            uint64_t,
                            const std::string&,
                            absl::Duration) override {
    return Down();
  }
  Status PutObject(const std::string&,
                   const std::string&,
                   absl::Duration) override {
    return Down();
  }
  Result<std::string> GetObject(const std::string&, absl::Duration) override {
    return Down();
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
  static Error Down() { return {ErrorKind::kUnavailable, "down", "wait"}; }

  absl::Mutex m_mutex;
  std::vector<ListedInstance> m_listed ABSL_GUARDED_BY(m_mutex);
};

// One instance: a peer service and its manager.
class Instance : public proto::Peer::Service {
 public:
  Instance(const std::string& id, ListStore* store) {
    int port = 0;
    grpc::ServerBuilder builder;
    builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(),
                             &port);
    builder.RegisterService(this);
    MemberManagerOptions options;
    options.own = {id, "", "dc-" + id, "region", "", false};
    options.store = store;
    options.channels = &m_channels;
    options.own_sheet_version = [this] { return m_sheet.load(); };
    options.on_peer_sheet = [this](const InstanceId&, const std::string&,
                                   uint64_t version) {
      // Every version of a peer is reported; a sheet manager takes none that
      // is older than its own.
      uint64_t own = m_sheet;
      while (own < version && !m_sheet.compare_exchange_weak(own, version)) {
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
  size_t Seen() const { return m_manager->Members()->size(); }
  std::atomic<uint64_t> m_sheet{1};

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
  bool AllSee(size_t count) {
    return Eventually([&] {
      for (const auto& instance : m_instances) {
        if (instance->Seen() != count) {
          return false;
        }
      }
      return true;
    });
  }

  ListStore m_store;
  std::vector<std::unique_ptr<Instance>> m_instances;
};

// The request path relies on every instance having the same view.
TEST_CASE_FIXTURE(MemberManagerFixture,
                  "MemberManager_StartCrashAndLeave_ViewsAgree") {
  REQUIRE(AllSee(4));
  size_t pollers = 0;
  for (const auto& instance : m_instances) {
    pollers += instance->Manager().IsStorePoller() ? 1 : 0;
    CHECK(instance->Manager().Joined());
  }
  CHECK(pollers == 2);

  m_instances.pop_back();
  CHECK(AllSee(3));

  m_instances.back()->Manager().Leave();
  CHECK(AllSee(2));
}

// A sheet that only one instance has must reach the others without the store.
TEST_CASE_FIXTURE(MemberManagerFixture,
                  "MemberManager_NewerSheetAtOne_IsReportedToAll") {
  REQUIRE(AllSee(4));
  m_instances[0]->m_sheet = 9;
  CHECK(Eventually([&] {
    for (const auto& instance : m_instances) {
      if (instance->m_sheet != 9) {
        return false;
      }
    }
    return true;
  }));
}

// Requests read the view and report failures while probes change it.
TEST_CASE_FIXTURE(MemberManagerFixture,
                  "MemberManager_ConcurrentReports_EndCleanly") {
  REQUIRE(AllSee(4));
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
  CHECK(AllSee(4));
}

}  // namespace
}  // namespace heatherwick
