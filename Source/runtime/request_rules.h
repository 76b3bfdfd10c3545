// Checks a caller's request against the sheet.

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
  absl::Duration max_age;  // kAgedRead
  // False: the request is never sent again after it may have arrived.
  bool repeatable = false;
};

inline constexpr absl::Duration kDefaultDeadline = absl::Seconds(2);

// The error, if any, names the field and the remedy; nothing has run.
Result<RequestRules> CheckRequest(const Sheet& sheet,
                                  const proto::ExecuteRequest& request);

// Time that the caller gives the request.
absl::Duration DeadlineOf(const proto::ExecuteRequest& request);

// Key under which a target records the request; empty without a request key.
std::string IdempotencyKey(absl::string_view caller, absl::string_view key);

// Hash of the statement with its numbers and quoted strings left out, so
// that statements of one kind share it.
uint64_t StatementShape(absl::string_view statement);

}  // namespace heatherwick

#endif  // SOURCE_RUNTIME_REQUEST_RULES_H_
