// The call with which an instance asks the coordinator of a quota's shard for
// operations.

#ifndef SOURCE_DECISION_QUOTA_MESSAGES_H_
#define SOURCE_DECISION_QUOTA_MESSAGES_H_

#include <cstdint>

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
  // The responder does not coordinate the shard, or not yet.
  kNotCoordinator,
  // The responder knows no workspace of this name.
  kUnknownWorkspace,
};

struct QuotaResponse {
  QuotaOutcome outcome = QuotaOutcome::kAnswered;
  uint32_t granted = 0;  // Of the operations asked for.
  // If fewer were granted: when to ask this shard again.
  absl::Duration retry_after;
  // What the shard has left, as a part of what it can hold.
  double left = 0;
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_QUOTA_MESSAGES_H_
