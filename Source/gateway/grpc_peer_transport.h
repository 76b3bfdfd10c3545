// Peer calls over gRPC. Calls and answers cross to the event loop's thread.

#ifndef SOURCE_GATEWAY_GRPC_PEER_TRANSPORT_H_
#define SOURCE_GATEWAY_GRPC_PEER_TRANSPORT_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "Source/base/error.h"
#include "Source/gateway/event_loop.h"
#include "Source/gateway/peer_transport.h"
#include "grpcpp/channel.h"
#include "grpcpp/server.h"

namespace heatherwick {

class GrpcPeerTransport : public PeerTransport {
 public:
  // Answer questions on the event loop's thread.
  struct Responders {
    std::function<VouchAnswer(const VouchQuestion&)> vouch;
    std::function<void(const FollowQuestion&,
                       std::function<void(Result<FollowAnswer>)>)>
        follow;
  };

  GrpcPeerTransport(EventLoop* loop, Responders responders);
  ~GrpcPeerTransport() override;

  Status Listen(const std::string& address);

  void Vouch(const std::string& address,
             const VouchQuestion& question,
             absl::Duration timeout,
             std::function<void(Result<VouchAnswer>)> done) override;
  void Follow(const std::string& address,
              const FollowQuestion& question,
              absl::Duration timeout,
              std::function<void(Result<FollowAnswer>)> done) override;

 private:
  class Service;

  std::shared_ptr<grpc::Channel> ChannelTo(const std::string& address);
  // The next call to the address opens a new connection.
  void Retire(const std::string& address);
  // Starts a call of the Leadership service; `done` runs on the loop.
  template <typename Request, typename Reply, typename Method>
  void Start(const std::string& address,
             Method method,
             Request request,
             absl::Duration timeout,
             std::function<void(Result<Reply>)> done);

  EventLoop* const m_loop;
  const Responders m_responders;
  std::unique_ptr<Service> m_service;
  std::unique_ptr<grpc::Server> m_server;
  std::map<std::string, std::shared_ptr<grpc::Channel>> m_channels;
  // Channels that went silent, and when. They are destroyed long after their
  // last call: gRPC 1.51 crashes when a call's end destroys its own channel.
  std::deque<std::pair<absl::Time, std::shared_ptr<grpc::Channel>>> m_retired;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace heatherwick

#endif  // SOURCE_GATEWAY_GRPC_PEER_TRANSPORT_H_
