// A server with a fake Peer service, and the client that measures it. The two
// run in separate processes, so that the memory of each side can be measured.

#include "Source/load/slopes/connection_slope.h"
#include "Source/runtime/grpc_deadline.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "Source/load/slopes/process_usage.h"
#include "Source/proto/peer.grpc.pb.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/blocking_counter.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "grpcpp/channel.h"
#include "grpcpp/client_context.h"
#include "grpcpp/create_channel.h"
#include "grpcpp/server_builder.h"

namespace heatherwick {

namespace {

constexpr size_t kStatementBytes = 200;
constexpr int kCalls = 20000;
constexpr int kCallsPerInFlightStep = 2000;
constexpr int kInFlightSteps = 3;
constexpr size_t kConnectionSteps = 4;
constexpr absl::Duration kCallTimeout = absl::Seconds(20);
constexpr absl::Duration kSettleTime = absl::Milliseconds(500);

class FakePeer : public proto::Peer::CallbackService {
 public:
  grpc::ServerUnaryReactor* Probe(grpc::CallbackServerContext* context,
                                  const proto::ProbeRequest*,
                                  proto::ProbeReply* reply) override {
    FinishHeldCalls();
    reply->set_alive(true);
    grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
    reactor->Finish(grpc::Status::OK);
    return reactor;
  }

  grpc::ServerUnaryReactor* Forward(grpc::CallbackServerContext* context,
                                    const proto::ForwardRequest*,
                                    proto::ForwardReply*) override {
    grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
    absl::MutexLock lock(&m_mutex);
    m_held_calls.push_back(reactor);
    return reactor;
  }

  void FinishHeldCalls() {
    std::vector<grpc::ServerUnaryReactor*> held;
    {
      absl::MutexLock lock(&m_mutex);
      held.swap(m_held_calls);
    }
    for (grpc::ServerUnaryReactor* reactor : held) {
      reactor->Finish(grpc::Status::OK);
    }
  }

 private:
  absl::Mutex m_mutex;
  std::vector<grpc::ServerUnaryReactor*> m_held_calls ABSL_GUARDED_BY(m_mutex);
};

// A client connection that is not shared with other channels of this process,
// as if it came from another process.
class Connection {
 public:
  explicit Connection(const std::string& address) {
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    m_stub = proto::Peer::NewStub(grpc::CreateCustomChannel(
        address, grpc::InsecureChannelCredentials(), arguments));
  }

  bool Call() {
    grpc::ClientContext context;
    context.set_deadline(GrpcDeadlineIn(kCallTimeout));
    context.set_wait_for_ready(true);
    proto::ProbeRequest request;
    proto::ProbeReply reply;
    return m_stub->Probe(&context, request, &reply).ok();
  }

  proto::Peer::Stub* Stub() { return m_stub.get(); }

 private:
  std::unique_ptr<proto::Peer::Stub> m_stub;
};

struct HeldCall {
  grpc::ClientContext context;
  proto::ForwardRequest request;
  proto::ForwardReply reply;
};

void MeasureOpening(const std::string& address,
                    const std::string& server_pid,
                    uint64_t connections,
                    std::vector<std::unique_ptr<Connection>>* open,
                    SlopeReport* report) {
  const auto add_row = [&] {
    absl::SleepFor(kSettleTime);
    report->Add(
        {{"connections", static_cast<double>(open->size())},
         {"server_resident_kb", UsageOf(server_pid).resident_bytes / 1e3},
         {"client_resident_kb", UsageOf("self").resident_bytes / 1e3}});
  };
  // Opened before the first measurement, because the first connection also
  // loads code and starts threads.
  open->push_back(std::make_unique<Connection>(address));
  open->back()->Call();
  add_row();
  for (size_t step = 1; step <= kConnectionSteps; ++step) {
    while (open->size() < connections * step / kConnectionSteps) {
      open->push_back(std::make_unique<Connection>(address));
      if (!open->back()->Call()) {
        return;
      }
    }
    add_row();
  }
}

void MeasureInFlight(const std::string& server_pid,
                     std::vector<std::unique_ptr<Connection>>* open,
                     SlopeReport* report) {
  std::vector<std::unique_ptr<HeldCall>> held;
  absl::BlockingCounter ended(kCallsPerInFlightStep * kInFlightSteps);
  const std::string statement(kStatementBytes, 's');
  for (int step = 0; step <= kInFlightSteps; ++step) {
    absl::SleepFor(kSettleTime);
    report->Add(
        {{"in_flight", static_cast<double>(held.size())},
         {"server_in_flight_kb", UsageOf(server_pid).resident_bytes / 1e3}});
    for (int i = 0; step < kInFlightSteps && i < kCallsPerInFlightStep; ++i) {
      held.push_back(std::make_unique<HeldCall>());
      HeldCall* call = held.back().get();
      call->request.mutable_execute()->set_statement(statement);
      (*open)[held.size() % open->size()]->Stub()->async()->Forward(
          &call->context, &call->request, &call->reply,
          [&ended](const grpc::Status&) { ended.DecrementCount(); });
    }
  }
  (*open)[0]->Call();
  ended.Wait();
}

void MeasureCalls(const std::string& server_pid,
                  Connection* connection,
                  SlopeReport* report) {
  const double client = UsageOf("self").processor_seconds;
  const double server = UsageOf(server_pid).processor_seconds;
  for (int i = 0; i < kCalls; ++i) {
    connection->Call();
  }
  const double calls = kCalls;
  report->Add(
      {{"calls", calls},
       {"client_us_per_call",
        (UsageOf("self").processor_seconds - client) * 1e6 / calls},
       {"server_us_per_call",
        (UsageOf(server_pid).processor_seconds - server) * 1e6 / calls}});
}

}  // namespace

void ServeConnections(uint64_t port, absl::Duration duration) {
  FakePeer service;
  grpc::ServerBuilder builder;
  builder.AddListeningPort(absl::StrCat("127.0.0.1:", port),
                           grpc::InsecureServerCredentials());
  builder.RegisterService(&service);
  const std::unique_ptr<grpc::Server> server = builder.BuildAndStart();
  if (server == nullptr) {
    return;
  }
  absl::SleepFor(duration);
  service.FinishHeldCalls();
  server->Shutdown(GrpcDeadlineIn(absl::ZeroDuration()));
}

void MeasureConnections(uint64_t port,
                        const std::string& server_pid,
                        uint64_t connections,
                        SlopeReport* report) {
  std::vector<std::unique_ptr<Connection>> open;
  MeasureOpening(absl::StrCat("127.0.0.1:", port), server_pid, connections,
                 &open, report);
  MeasureInFlight(server_pid, &open, report);
  MeasureCalls(server_pid, open[0].get(), report);
  report->AddFit("connections", "server_resident_kb");
  report->AddFit("connections", "client_resident_kb");
  report->AddFit("in_flight", "server_in_flight_kb");
}

}  // namespace heatherwick
