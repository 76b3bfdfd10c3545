// Sends a call to each instance of a list in turn until one answers.

#ifndef SOURCE_CLIENT_INSTANCE_CLIENT_H_
#define SOURCE_CLIENT_INSTANCE_CLIENT_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "Source/client/call_result.h"
#include "Source/proto/operator.grpc.pb.h"
#include "Source/proto/proxy.grpc.pb.h"
#include "Source/runtime/channel_pool.h"
#include "absl/time/time.h"
#include "grpcpp/client_context.h"

namespace heatherwick {

// Whether a call may be sent to the next instance although the previous one,
// which did not answer, may have received it.
enum class Retry { kAllowed, kForbidden };

class InstanceClient {
 public:
  InstanceClient(std::vector<std::string> addresses, absl::Duration timeout);

  template <typename Request, typename Reply>
  CallResult CallOperator(
      grpc::Status (proto::Operator::Stub::*method)(grpc::ClientContext*,
                                                    const Request&,
                                                    Reply*),
      const Request& request,
      Reply* reply,
      Retry retry = Retry::kAllowed) {
    return TryEachInstance(
        retry, [&](const Channel& channel, grpc::ClientContext* context) {
          return (proto::Operator::NewStub(channel).get()->*method)(
              context, request, reply);
        });
  }

  template <typename Request, typename Reply>
  CallResult CallProxy(
      grpc::Status (proto::Proxy::Stub::*method)(grpc::ClientContext*,
                                                 const Request&,
                                                 Reply*),
      const Request& request,
      Reply* reply,
      Retry retry) {
    return TryEachInstance(
        retry, [&](const Channel& channel, grpc::ClientContext* context) {
          return (proto::Proxy::NewStub(channel).get()->*method)(
              context, request, reply);
        });
  }

  const std::vector<std::string>& Addresses() const { return m_addresses; }

 private:
  using Channel = std::shared_ptr<grpc::Channel>;
  using Attempt =
      std::function<grpc::Status(const Channel&, grpc::ClientContext*)>;

  CallResult TryEachInstance(Retry retry, const Attempt& attempt);

  const std::vector<std::string> m_addresses;
  const absl::Duration m_timeout;
  ChannelPool m_channels;
};

}  // namespace heatherwick

#endif  // SOURCE_CLIENT_INSTANCE_CLIENT_H_
