// gRPC client of the proxies that are under load.

#include "Source/load/proxy_client.h"
#include "Source/base/steady_clock.h"
#include "Source/runtime/grpc_deadline.h"

#include <algorithm>

#include "absl/strings/match.h"
#include "grpcpp/grpcpp.h"

namespace heatherwick {

namespace {

constexpr absl::Duration kAvoidUnreachableFor = absl::Milliseconds(500);
// A proxy that reports that it is leaving has stopped after about this time.
constexpr absl::Duration kAvoidLeavingFor = absl::Seconds(2);
// A proxy replies by the request's deadline. The reply needs additional time to
// arrive.
constexpr absl::Duration kReplyMargin = absl::Milliseconds(500);

// If no connection could be opened, the request has not left this process. It
// is then safe to send it to another proxy, as a load balancer does.
bool WasNeverSent(const grpc::Status& status) {
  return status.error_code() == grpc::StatusCode::UNAVAILABLE &&
         absl::StartsWith(status.error_message(), "failed to connect");
}

}  // namespace

ProxyClient::ProxyClient(const std::vector<std::string>& addresses) {
  for (const std::string& address : addresses) {
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 50);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 50);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 500);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    // Otherwise gRPC would retry a call by itself when a connection breaks
    // early.
    arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    auto proxy = std::make_unique<Proxy>();
    proxy->stub = proto::Proxy::NewStub(grpc::CreateCustomChannel(
        address, grpc::InsecureChannelCredentials(), arguments));
    m_proxies.push_back(std::move(proxy));
  }
}

ProxyClient::Proxy& ProxyClient::Choose(uint64_t choice) {
  const int64_t now = absl::ToUnixMillis(SteadyNow());
  for (size_t i = 0; i < m_proxies.size(); ++i) {
    Proxy& proxy = *m_proxies[(choice + i) % m_proxies.size()];
    if (proxy.avoid_until_ms <= now) {
      return proxy;
    }
  }
  return *m_proxies[choice % m_proxies.size()];
}

bool ProxyClient::HasAvailableProxy(absl::Time now) const {
  return std::any_of(m_proxies.begin(), m_proxies.end(),
                     [now](const std::unique_ptr<Proxy>& proxy) {
                       return proxy->avoid_until_ms <= absl::ToUnixMillis(now);
                     });
}

template <typename Call>
proto::ExecuteReply ProxyClient::Send(absl::Duration deadline,
                                      uint64_t choice,
                                      const Call& call) {
  const absl::Time limit = SteadyNow() + deadline + kReplyMargin;
  proto::ExecuteReply reply;
  grpc::Status status;
  do {
    Proxy& proxy = Choose(choice);
    grpc::ClientContext context;
    context.set_deadline(GrpcDeadline(limit));
    status = call(*proxy.stub, &context, &reply);
    if (status.ok()) {
      if (reply.leaving()) {
        proxy.avoid_until_ms =
            absl::ToUnixMillis(SteadyNow() + kAvoidLeavingFor);
      }
      return reply;
    }
    proxy.avoid_until_ms =
        absl::ToUnixMillis(SteadyNow() + kAvoidUnreachableFor);
  } while (WasNeverSent(status) && HasAvailableProxy(SteadyNow()) &&
           SteadyNow() < limit);
  reply.Clear();
  reply.set_outcome(proto::UNKNOWN);
  reply.set_error_kind("transport");
  reply.set_error_message(status.error_message());
  return reply;
}

proto::ExecuteReply ProxyClient::Execute(proto::ExecuteRequest request,
                                         absl::Duration deadline,
                                         uint64_t choice) {
  request.set_deadline_ms(
      static_cast<uint32_t>(absl::ToInt64Milliseconds(deadline)));
  return Send(deadline, choice,
              [&request](proto::Proxy::Stub& stub, grpc::ClientContext* context,
                         proto::ExecuteReply* reply) {
                return stub.Execute(context, request, reply);
              });
}

proto::ExecuteReply ProxyClient::Resolve(proto::ResolveRequest request,
                                         absl::Duration deadline,
                                         uint64_t choice) {
  request.set_deadline_ms(
      static_cast<uint32_t>(absl::ToInt64Milliseconds(deadline)));
  return Send(deadline, choice,
              [&request](proto::Proxy::Stub& stub, grpc::ClientContext* context,
                         proto::ExecuteReply* reply) {
                return stub.Resolve(context, request, reply);
              });
}

}  // namespace heatherwick
