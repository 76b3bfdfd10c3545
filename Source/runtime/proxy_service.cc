// Passes the requests of callers to RoutedRequest.

#include "Source/runtime/proxy_service.h"
#include "Source/base/steady_clock.h"

#include <algorithm>
#include <utility>

#include "Source/runtime/request_rules.h"

namespace heatherwick {

namespace {

// Returns the earlier of the deadline named in the request (`own_timeout` from
// now) and the deadline of the gRPC call.
absl::Time DeadlineOfCall(const grpc::CallbackServerContext& context,
                          absl::Duration own_timeout) {
  const absl::Time call_deadline = SteadyDeadline(context);
  return std::min(SteadyNow() + own_timeout, call_deadline);
}

RoutedRequest::Done ReplyWith(const RoutingContext* context,
                              grpc::ServerUnaryReactor* reactor,
                              proto::ExecuteReply* out) {
  return [context, reactor, out](proto::ExecuteReply reply) {
    *out = std::move(reply);
    out->set_leaving(context->homes->Draining());
    reactor->Finish(grpc::Status::OK);
  };
}

}  // namespace

grpc::ServerUnaryReactor* ProxyService::Execute(
    grpc::CallbackServerContext* context,
    const proto::ExecuteRequest* request,
    proto::ExecuteReply* reply) {
  grpc::ServerUnaryReactor* const reactor = context->DefaultReactor();
  RoutedRequest::Execute(m_context, *request,
                         DeadlineOfCall(*context, DeadlineOf(*request)),
                         ReplyWith(m_context, reactor, reply));
  return reactor;
}

grpc::ServerUnaryReactor* ProxyService::Resolve(
    grpc::CallbackServerContext* context,
    const proto::ResolveRequest* request,
    proto::ExecuteReply* reply) {
  grpc::ServerUnaryReactor* const reactor = context->DefaultReactor();
  const absl::Duration own_timeout =
      request->deadline_ms() == 0 ? kDefaultDeadline
                                  : absl::Milliseconds(request->deadline_ms());
  RoutedRequest::Resolve(m_context, *request,
                         DeadlineOfCall(*context, own_timeout),
                         ReplyWith(m_context, reactor, reply));
  return reactor;
}

}  // namespace heatherwick
