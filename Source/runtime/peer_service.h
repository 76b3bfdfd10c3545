// The gRPC service that the other instances call.

#ifndef SOURCE_RUNTIME_PEER_SERVICE_H_
#define SOURCE_RUNTIME_PEER_SERVICE_H_

#include "Source/proto/peer.grpc.pb.h"
#include "Source/runtime/routed_request.h"

namespace heatherwick {

// Forwarded requests are frequent, so they use the callback API. The other
// calls are rare and may block a thread.
class PeerService
    : public proto::Peer::WithCallbackMethod_Forward<proto::Peer::Service> {
 public:
  // `context` must outlive the server.
  explicit PeerService(RoutingContext* context) : m_context(context) {}

  grpc::ServerUnaryReactor* Forward(grpc::CallbackServerContext* context,
                                    const proto::ForwardRequest* request,
                                    proto::ForwardReply* reply) override;
  grpc::Status Probe(grpc::ServerContext* context,
                     const proto::ProbeRequest* request,
                     proto::ProbeReply* reply) override;
  grpc::Status FetchSheet(grpc::ServerContext* context,
                          const proto::FetchSheetRequest* request,
                          proto::FetchSheetReply* reply) override;

 private:
  // Returns why this instance does not accept the request, or an empty string
  // if it does.
  std::string RefusalReason(const proto::ForwardRequest& request,
                            const std::shared_ptr<GroupHome>& home) const;

  RoutingContext* const m_context;
};

}  // namespace heatherwick

#endif  // SOURCE_RUNTIME_PEER_SERVICE_H_
