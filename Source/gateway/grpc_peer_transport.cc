// The Leadership service and its client.

#include "Source/gateway/grpc_peer_transport.h"

#include <utility>

#include "Source/proto/leadership.grpc.pb.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "grpc/support/time.h"
#include "grpcpp/create_channel.h"
#include "grpcpp/security/credentials.h"
#include "grpcpp/security/server_credentials.h"
#include "grpcpp/server_builder.h"
#include "grpcpp/support/channel_arguments.h"

namespace heatherwick {
namespace {

// gRPC's default back-off grows to two minutes; a peer that returns is needed
// within the lease.
constexpr int kLowestBackOffMs = 50;
constexpr int kHighestBackOffMs = 300;

// gRPC's deadlines in the monotonic clock do not follow the time of day.
gpr_timespec DeadlineAfter(absl::Duration timeout) {
  return gpr_time_add(
      gpr_now(GPR_CLOCK_MONOTONIC),
      gpr_time_from_millis(absl::ToInt64Milliseconds(timeout), GPR_TIMESPAN));
}

}  // namespace

class GrpcPeerTransport::Service : public proto::Leadership::CallbackService {
 public:
  Service(EventLoop* loop, const Responder* responder)
      : m_loop(loop), m_responder(responder) {}

  grpc::ServerUnaryReactor* Vouch(grpc::CallbackServerContext* context,
                                  const proto::VouchRequest* request,
                                  proto::VouchReply* reply) override {
    grpc::ServerUnaryReactor* const reactor = context->DefaultReactor();
    m_loop->Post([this, request, reply, reactor]() {
      const VouchAnswer answer =
          (*m_responder)({request->instance(), request->incarnation(),
                          request->leaders_version()});
      reply->set_member_known(answer.member_known);
      reply->set_has_reading(answer.has_reading);
      reply->set_reading_age_us(absl::ToInt64Microseconds(answer.reading_age));
      reply->set_leaders_version(answer.leaders_version);
      reply->set_store_unreachable(answer.store_unreachable);
      for (const StoredRow& row : answer.leaders) {
        proto::LeaderRow* const leader = reply->add_leaders();
        leader->set_key(row.key);
        leader->set_value(row.value);
        leader->set_version(row.version);
      }
      reactor->Finish(grpc::Status::OK);
    });
    return reactor;
  }

 private:
  EventLoop* const m_loop;
  const Responder* const m_responder;
};

GrpcPeerTransport::GrpcPeerTransport(EventLoop* loop, Responder responder)
    : m_loop(loop), m_responder(std::move(responder)) {}

GrpcPeerTransport::~GrpcPeerTransport() = default;

Status GrpcPeerTransport::Listen(const std::string& address) {
  m_service = std::make_unique<Service>(m_loop, &m_responder);
  grpc::ServerBuilder builder;
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  builder.AddListeningPort(address, grpc::InsecureServerCredentials());
  builder.RegisterService(m_service.get());
  m_server = builder.BuildAndStart();
  if (!m_server) {
    return Error{ErrorKind::kUnavailable,
                 absl::StrCat("cannot listen on ", address),
                 "free the address or change the settings"};
  }
  return std::monostate{};
}

std::shared_ptr<grpc::Channel> GrpcPeerTransport::ChannelTo(
    const std::string& address) {
  std::shared_ptr<grpc::Channel>& channel = m_channels[address];
  if (!channel) {
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, kLowestBackOffMs);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kLowestBackOffMs);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kHighestBackOffMs);
    // Proxies in the environment must not redirect calls between instances.
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    channel = grpc::CreateCustomChannel(
        address, grpc::InsecureChannelCredentials(), arguments);
  }
  return channel;
}

void GrpcPeerTransport::Vouch(const std::string& address,
                              const VouchQuestion& question,
                              absl::Duration timeout,
                              std::function<void(Result<VouchAnswer>)> done) {
  struct Call {
    std::unique_ptr<proto::Leadership::Stub> stub;
    grpc::ClientContext context;
    proto::VouchRequest request;
    proto::VouchReply reply;
  };
  auto call = std::make_shared<Call>();
  call->stub = proto::Leadership::NewStub(ChannelTo(address));
  call->context.set_deadline(DeadlineAfter(timeout));
  call->request.set_instance(question.instance);
  call->request.set_incarnation(question.incarnation);
  call->request.set_leaders_version(question.leaders_version);
  Call* const raw = call.get();
  raw->stub->async()->Vouch(
      &raw->context, &raw->request, &raw->reply,
      [loop = m_loop, call,
       done = std::move(done)](const grpc::Status& status) {
        loop->Post([call, done, status]() {
          if (!status.ok()) {
            const bool refused =
                absl::StrContains(status.error_message(), "refused");
            done(Error{refused ? ErrorKind::kNotFound : ErrorKind::kUnavailable,
                       status.error_message(), "check the instance"});
            return;
          }
          const proto::VouchReply& reply = call->reply;
          VouchAnswer answer;
          answer.member_known = reply.member_known();
          answer.has_reading = reply.has_reading();
          answer.reading_age = absl::Microseconds(reply.reading_age_us());
          answer.leaders_version = reply.leaders_version();
          answer.store_unreachable = reply.store_unreachable();
          for (const proto::LeaderRow& row : reply.leaders()) {
            answer.leaders.push_back(
                {row.key(), row.value(), row.version(), false});
          }
          done(std::move(answer));
        });
      });
}

}  // namespace heatherwick
