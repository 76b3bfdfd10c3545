// Calls between the instances that coordinate a workspace's quota and those
// that ask them for operations.

#ifndef SOURCE_GATEWAY_QUOTA_QUOTA_TRANSPORT_H_
#define SOURCE_GATEWAY_QUOTA_QUOTA_TRANSPORT_H_

#include <cstdint>
#include <functional>
#include <string>

#include "Source/base/error.h"
#include "Source/base/types.h"
#include "absl/time/time.h"

namespace heatherwick {

struct QuotaQuery {
  WorkspaceName workspace;
  uint32_t shard = 0;
  uint32_t shards = 1;  // Into how many shards the requester splits the quota.
  uint32_t count = 0;   // Operations that wait at the requester.
};

enum class QuotaOutcome {
  kAnswered,
  kNotCoordinator,    // The responder does not coordinate the shard, or not
                      // yet.
  kUnknownWorkspace,  // The responder knows no workspace of this name.
};

struct QuotaResponse {
  QuotaOutcome outcome = QuotaOutcome::kAnswered;
  uint32_t granted = 0;  // Of the operations asked for.
  // If fewer were granted: when to ask this shard again.
  absl::Duration retry_after;
};

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
