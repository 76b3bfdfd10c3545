// Sends requests to one of several proxies, as a load balancer does.

#ifndef SOURCE_LOAD_PROXY_CLIENT_H_
#define SOURCE_LOAD_PROXY_CLIENT_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "Source/proto/proxy.grpc.pb.h"
#include "absl/time/time.h"

namespace heatherwick {

class ProxyClient {
 public:
  explicit ProxyClient(const std::vector<std::string>& addresses);

  // `choice` is any number; it selects the proxy. A proxy that could not be
  // reached gets no requests for a short time, unless all are so. The reply
  // is UNKNOWN with the error kind "transport" when none arrived.
  proto::ExecuteReply Execute(proto::ExecuteRequest request,
                              absl::Duration deadline,
                              uint64_t choice);
  proto::ExecuteReply Resolve(proto::ResolveRequest request,
                              absl::Duration deadline,
                              uint64_t choice);

 private:
  struct Proxy {
    std::unique_ptr<proto::Proxy::Stub> stub;
    std::atomic<int64_t> avoid_until_ms{0};  // Unix time.
  };

  Proxy& Choose(uint64_t choice);
  // Whether some proxy is not being avoided.
  bool HasOther(absl::Time now) const;
  template <typename Call>
  proto::ExecuteReply Send(absl::Duration deadline,
                           uint64_t choice,
                           const Call& call);

  std::vector<std::unique_ptr<Proxy>> m_proxies;
};

}  // namespace heatherwick

#endif  // SOURCE_LOAD_PROXY_CLIENT_H_
