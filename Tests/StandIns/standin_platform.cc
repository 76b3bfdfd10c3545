// standin-platform: an in-memory stand-in for the platform's table service,
// object store and list of instances. Tests can inject faults.

#include <algorithm>
#include <deque>
#include <utility>

#include "Source/proto/platform.grpc.pb.h"
#include "Tests/StandIns/server_main.h"
#include "absl/base/thread_annotations.h"
#include "absl/strings/str_split.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "absl/time/time.h"

namespace heatherwick {

namespace {

constexpr absl::Duration kFaultPollInterval = absl::Milliseconds(5);
constexpr absl::Duration kMaxLostReplyHold = absl::Seconds(30);

class PlatformService final : public proto::Platform::Service,
                              public proto::PlatformStandIn::Service {
 public:
  grpc::Status ReadRow(grpc::ServerContext* /*context*/,
                       const proto::ReadRowRequest* request,
                       proto::ReadRowReply* reply) override {
    return RunUnlessDown([this, request, reply] {
      const auto found = m_rows.find(request->key());
      if (found != m_rows.end()) {
        *reply = found->second;
      }
    });
  }

  grpc::Status WriteRow(grpc::ServerContext* context,
                        const proto::WriteRowRequest* request,
                        proto::WriteRowReply* reply) override {
    const grpc::Status status = RunUnlessDown([this, request, reply] {
      proto::ReadRowReply& row = m_rows[request->key()];
      reply->set_written(row.version() == request->expected_version());
      if (reply->written()) {
        row.set_found(true);
        row.set_version(row.version() + 1);
        row.set_value(request->value());
      }
      reply->set_version(row.version());
      if (!row.found()) {
        m_rows.erase(request->key());
      }
    });
    return status.ok() ? MaybeLoseReply(context) : status;
  }

  grpc::Status PutObject(grpc::ServerContext* /*context*/,
                         const proto::PutObjectRequest* request,
                         proto::PutObjectReply* /*reply*/) override {
    return RunUnlessDown(
        [this, request] { m_objects[request->name()] = request->content(); });
  }

  grpc::Status GetObject(grpc::ServerContext* /*context*/,
                         const proto::GetObjectRequest* request,
                         proto::GetObjectReply* reply) override {
    return RunUnlessDown([this, request, reply] {
      const auto found = m_objects.find(request->name());
      reply->set_found(found != m_objects.end());
      if (reply->found()) {
        reply->set_content(found->second);
      }
    });
  }

  grpc::Status ListInstances(grpc::ServerContext* /*context*/,
                             const proto::ListInstancesRequest* /*request*/,
                             proto::ListInstancesReply* reply) override {
    return RunUnlessDown([this, reply] {
      const absl::Time visible_since =
          absl::Now() - absl::Milliseconds(m_faults.list_lag_ms());
      for (const auto& [set_at, list] : m_instance_lists) {
        if (set_at <= visible_since || reply->instances().empty()) {
          *reply = list;
        }
      }
    });
  }

  grpc::Status SetFaults(grpc::ServerContext* /*context*/,
                         const proto::PlatformFaults* request,
                         proto::PlatformFaultsReply* /*reply*/) override {
    const absl::MutexLock lock(&m_mutex);
    m_faults = *request;
    return grpc::Status::OK;
  }

  grpc::Status SetInstances(grpc::ServerContext* /*context*/,
                            const proto::SetInstancesRequest* request,
                            proto::SetInstancesReply* /*reply*/) override {
    proto::ListInstancesReply list;
    *list.mutable_instances() = request->instances();
    AddInstanceList(list);
    return grpc::Status::OK;
  }

  void AddInstanceList(const proto::ListInstancesReply& list) {
    const absl::MutexLock lock(&m_mutex);
    m_instance_lists.emplace_back(absl::Now(), list);
  }

 private:
  // Waits for the injected delay and runs `call` under the lock. Returns
  // UNAVAILABLE without running it while the store is set to be down.
  template <typename Call>
  grpc::Status RunUnlessDown(const Call& call) {
    absl::Duration delay;
    {
      const absl::MutexLock lock(&m_mutex);
      delay = absl::Milliseconds(m_faults.delay_ms());
    }
    absl::SleepFor(delay);
    const absl::MutexLock lock(&m_mutex);
    if (m_faults.down()) {
      return {grpc::StatusCode::UNAVAILABLE, "the store is down"};
    }
    call();
    return grpc::Status::OK;
  }

  // If a lost reply is to be injected, holds the reply until the client gives
  // up, at most for kMaxLostReplyHold.
  grpc::Status MaybeLoseReply(grpc::ServerContext* context) {
    {
      const absl::MutexLock lock(&m_mutex);
      if (m_faults.lose_answers() == 0) {
        return grpc::Status::OK;
      }
      m_faults.set_lose_answers(m_faults.lose_answers() - 1);
    }
    const absl::Time end = absl::Now() + kMaxLostReplyHold;
    while (!context->IsCancelled() && absl::Now() < end) {
      absl::SleepFor(kFaultPollInterval);
    }
    return {grpc::StatusCode::UNAVAILABLE, "answer lost"};
  }

  absl::Mutex m_mutex;
  std::map<std::string, proto::ReadRowReply> m_rows ABSL_GUARDED_BY(m_mutex);
  std::map<std::string, std::string> m_objects ABSL_GUARDED_BY(m_mutex);
  // Every list of instances with the time at which it was set, oldest first.
  std::deque<std::pair<absl::Time, proto::ListInstancesReply>> m_instance_lists
      ABSL_GUARDED_BY(m_mutex);
  proto::PlatformFaults m_faults ABSL_GUARDED_BY(m_mutex);
};

proto::ListInstancesReply ParseInstances(const std::string& text) {
  proto::ListInstancesReply list;
  for (const auto& [id, rest] : ParseIdList(text)) {
    const std::vector<std::string> parts = absl::StrSplit(rest, '@');
    proto::InstanceEntry* entry = list.add_instances();
    entry->set_id(id);
    entry->set_address(parts[0]);
    entry->set_data_centre(parts.size() > 1 ? parts[1] : "");
    entry->set_region(parts.size() > 2 ? parts[2] : "");
  }
  return list;
}

}  // namespace

}  // namespace heatherwick

int main(int argc, char** argv) {
  std::string listen;
  std::string instances;
  heatherwick::SettingsParser parser("standin-platform",
                                     "A stand-in platform for tests.");
  parser.AddRequiredString("listen", "IP:PORT", "Address", &listen);
  parser.AddString("instances", "ID@IP:PORT@DATA_CENTRE@REGION,...",
                   "The list of instances", &instances);
  if (const auto code = heatherwick::ReadStandInSettings(parser, argc, argv)) {
    return *code;
  }
  heatherwick::BlockStopSignals();
  heatherwick::PlatformService service;
  service.AddInstanceList(heatherwick::ParseInstances(instances));
  return heatherwick::RunServer(
      listen,
      {static_cast<heatherwick::proto::Platform::Service*>(&service),
       static_cast<heatherwick::proto::PlatformStandIn::Service*>(&service)},
      [] {});
}
