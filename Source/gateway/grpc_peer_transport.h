// Peer calls over gRPC. Calls and answers cross to the event loop's thread.

#ifndef SOURCE_GATEWAY_GRPC_PEER_TRANSPORT_H_
#define SOURCE_GATEWAY_GRPC_PEER_TRANSPORT_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "Source/base/error.h"
#include "Source/gateway/event_loop.h"
#include "Source/gateway/peer_transport.h"
#include "grpcpp/channel.h"
#include "grpcpp/server.h"

namespace heatherwick {

class GrpcPeerTransport : public PeerTransport {
 public:
  // Answers a question on the event loop's thread.
  using Responder = std::function<VouchAnswer(const VouchQuestion&)>;

  GrpcPeerTransport(EventLoop* loop, Responder responder);
  ~GrpcPeerTransport() override;

  Status Listen(const std::string& address);

  void Vouch(const std::string& address,
             const VouchQuestion& question,
             absl::Duration timeout,
             std::function<void(Result<VouchAnswer>)> done) override;

 private:
  class Service;

  std::shared_ptr<grpc::Channel> ChannelTo(const std::string& address);

  EventLoop* const m_loop;
  const Responder m_responder;
  std::unique_ptr<Service> m_service;
  std::unique_ptr<grpc::Server> m_server;
  std::map<std::string, std::shared_ptr<grpc::Channel>> m_channels;
};

}  // namespace heatherwick

#endif  // SOURCE_GATEWAY_GRPC_PEER_TRANSPORT_H_
