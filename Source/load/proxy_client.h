// Distributes requests over several proxies, as a load balancer does.

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

  // `choice` may be any number and selects the proxy. A proxy that could not be
  // reached, or that is leaving, gets no requests for a short time unless all
  // proxies are being avoided. If no reply arrives, the outcome is UNKNOWN with
  // the error kind "transport".
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
  // Whether there is a proxy that is not being avoided.
  bool HasAvailableProxy(absl::Time now) const;
  template <typename Call>
  proto::ExecuteReply Send(absl::Duration deadline,
                           uint64_t choice,
                           const Call& call);

  std::vector<std::unique_ptr<Proxy>> m_proxies;
};

}  // namespace heatherwick

#endif  // SOURCE_LOAD_PROXY_CLIENT_H_
