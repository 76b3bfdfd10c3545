// Passes callers' requests to the routing.

#include "Source/runtime/proxy_service.h"
#include "Source/base/steady_clock.h"

#include <algorithm>
#include <utility>

#include "Source/runtime/request_rules.h"

namespace heatherwick {

namespace {

// The earlier of the request's own deadline and that of its call.
absl::Time DeadlineOfCall(const grpc::CallbackServerContext& context,
                          absl::Duration own) {
  const absl::Time call = SteadyDeadline(context);
  return std::min(SteadyNow() + own, call);
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
  const absl::Duration own = request->deadline_ms() == 0
                                 ? kDefaultDeadline
                                 : absl::Milliseconds(request->deadline_ms());
  RoutedRequest::Resolve(m_context, *request, DeadlineOfCall(*context, own),
                         ReplyWith(m_context, reactor, reply));
  return reactor;
}

}  // namespace heatherwick
