// The gRPC service that callers use.

#ifndef SOURCE_RUNTIME_PROXY_SERVICE_H_
#define SOURCE_RUNTIME_PROXY_SERVICE_H_

#include "Source/proto/proxy.grpc.pb.h"
#include "Source/runtime/routed_request.h"

namespace heatherwick {

class ProxyService : public proto::Proxy::CallbackService {
 public:
  // `context` must outlive the server.
  explicit ProxyService(RoutingContext* context) : m_context(context) {}

  grpc::ServerUnaryReactor* Execute(grpc::CallbackServerContext* context,
                                    const proto::ExecuteRequest* request,
                                    proto::ExecuteReply* reply) override;
  grpc::ServerUnaryReactor* Resolve(grpc::CallbackServerContext* context,
                                    const proto::ResolveRequest* request,
                                    proto::ExecuteReply* reply) override;

 private:
  RoutingContext* const m_context;
};

}  // namespace heatherwick

#endif  // SOURCE_RUNTIME_PROXY_SERVICE_H_
