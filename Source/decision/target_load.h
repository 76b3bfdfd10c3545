// A target's load as a lender sees it. It is passed on with the lender's
// replies, so that choosers learn of it without asking.

#ifndef SOURCE_DECISION_TARGET_LOAD_H_
#define SOURCE_DECISION_TARGET_LOAD_H_

#include <cstdint>

#include "absl/time/time.h"

namespace heatherwick {

struct TargetLoad {
  // Statements that run on the lender's connections, and requests that wait for
  // a connection at the lender. Other lenders' are not included.
  uint32_t running = 0;
  uint32_t waiting = 0;
  absl::Duration latency;  // Moving average of the target's replies.
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_TARGET_LOAD_H_
