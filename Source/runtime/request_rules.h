// Checks a caller's request against the sheet and derives how to run it.

#ifndef SOURCE_RUNTIME_REQUEST_RULES_H_
#define SOURCE_RUNTIME_REQUEST_RULES_H_

#include <cstdint>
#include <string>

#include "Source/base/error.h"
#include "Source/decision/group_scheduler.h"
#include "Source/decision/sheet.h"
#include "Source/proto/proxy.pb.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace heatherwick {

struct RequestRules {
  RequestClass request_class = RequestClass::kWrite;
  absl::Duration max_age;  // Used for kBoundedStalenessRead only.
  // If false, the request is never sent again once it may have reached a
  // target.
  bool repeatable = false;
};

inline constexpr absl::Duration kDefaultDeadline = absl::Seconds(2);

// Returns the rules for a valid request. An error names the invalid field and
// the remedy; the request has not run.
Result<RequestRules> CheckRequest(const Sheet& sheet,
                                  const proto::ExecuteRequest& request);

// Returns the time within which the caller expects the reply.
absl::Duration DeadlineOf(const proto::ExecuteRequest& request);

// Returns the key under which a target records the request, or an empty string
// if the request has no key.
std::string IdempotencyKey(absl::string_view caller, absl::string_view key);

// Returns a hash of the statement without its numbers and quoted strings, so
// that statements that differ only in their values have the same hash.
uint64_t StatementShape(absl::string_view statement);

}  // namespace heatherwick

#endif  // SOURCE_RUNTIME_REQUEST_RULES_H_
