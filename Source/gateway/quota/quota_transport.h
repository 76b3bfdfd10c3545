// Calls between the instances that coordinate a workspace's quota and those
// that ask them for operations.

#ifndef SOURCE_GATEWAY_QUOTA_QUOTA_TRANSPORT_H_
#define SOURCE_GATEWAY_QUOTA_QUOTA_TRANSPORT_H_

#include <functional>
#include <string>

#include "Source/base/error.h"
#include "Source/decision/quota_messages.h"
#include "absl/time/time.h"

namespace heatherwick {

class QuotaTransport {
 public:
  virtual ~QuotaTransport() = default;

  // Fails if the instance at the address does not answer in time. Operations
  // that it may have granted are lost then.
  virtual void AskQuota(const std::string& address,
                        const QuotaQuery& query,
                        absl::Duration timeout,
                        std::function<void(Result<QuotaResponse>)> done) = 0;
};

}  // namespace heatherwick

#endif  // SOURCE_GATEWAY_QUOTA_QUOTA_TRANSPORT_H_
