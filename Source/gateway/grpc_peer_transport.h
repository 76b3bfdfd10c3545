// Calls between instances over gRPC. Incoming calls and the replies to outgoing
// calls are handed over to the event loop's thread.

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
#include "Source/gateway/lending.h"
#include "Source/gateway/peer_transport.h"
#include "Source/gateway/quota/quota_transport.h"
#include "grpcpp/channel.h"
#include "grpcpp/server.h"

namespace heatherwick {

class GrpcPeerTransport : public PeerTransport,
                          public LendingTransport,
                          public QuotaTransport {
 public:
  // The handlers of incoming calls. They run on the event loop's thread.
  struct Responders {
    std::function<VouchResponse(const VouchQuery&)> vouch;
    std::function<void(const FollowQuery&,
                       std::function<void(Result<FollowResponse>)>)>
        follow;
    std::function<Result<std::string>(const FetchQuery&)> fetch;
    std::function<void(RunQuery, std::function<void(RunResponse)>)> run;
    std::function<void(uint64_t loan)> end_loan;
    std::function<void(uint64_t request)> cancel;
    std::function<LenderPosition(const GroupName&)> position;
    std::function<QuotaResponse(const QuotaQuery&)> quota;
  };

  GrpcPeerTransport(EventLoop* loop, Responders responders);
  ~GrpcPeerTransport() override;

  Status Listen(const std::string& address);

  void Vouch(const std::string& address,
             const VouchQuery& query,
             absl::Duration timeout,
             std::function<void(Result<VouchResponse>)> done) override;
  void Follow(const std::string& address,
              const FollowQuery& query,
              absl::Duration timeout,
              std::function<void(Result<FollowResponse>)> done) override;
  void Fetch(const std::string& address,
             const FetchQuery& query,
             absl::Duration timeout,
             std::function<void(Result<std::string>)> done) override;

  // LendingTransport:
  void Run(const std::string& address,
           const RunQuery& query,
           absl::Duration timeout,
           std::function<void(Result<RunResponse>)> done) override;
  void Return(const std::string& address, uint64_t loan) override;
  void Cancel(const std::string& address, uint64_t request) override;
  void QueryPosition(const std::string& address,
                     const GroupName& group,
                     absl::Duration timeout,
                     std::function<void(Result<LenderPosition>)> done) override;

  // QuotaTransport:
  void AskQuota(const std::string& address,
                const QuotaQuery& query,
                absl::Duration timeout,
                std::function<void(Result<QuotaResponse>)> done) override;

 private:
  class Service;

  std::shared_ptr<grpc::Channel> ChannelTo(const std::string& address);
  struct PeerChannel {
    std::shared_ptr<grpc::Channel> channel;
    absl::Time last_answer = absl::InfinitePast();
  };

  // A call over `channel` that was sent at `sent` was not answered in time.
  // Drops the channel, so that the next call opens a new connection, unless it
  // was replaced already, or answered other calls since: then the peer is slow,
  // and a new connection would add to its load.
  void OnMissedDeadline(const std::string& address,
                        const std::shared_ptr<grpc::Channel>& channel,
                        absl::Time sent);
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
  std::map<std::string, PeerChannel> m_channels;
  // Channels that stopped answering, and when they were dropped. They are
  // destroyed only long after their last call, because gRPC 1.51 crashes when
  // the end of a call destroys the call's own channel.
  std::deque<std::pair<absl::Time, std::shared_ptr<grpc::Channel>>> m_retired;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace heatherwick

#endif  // SOURCE_GATEWAY_GRPC_PEER_TRANSPORT_H_
