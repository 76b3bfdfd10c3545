// Translates between the messages of target.proto and the types of the
// decision library.

#ifndef SOURCE_RUNTIME_TARGET_MESSAGES_H_
#define SOURCE_RUNTIME_TARGET_MESSAGES_H_

#include "Source/base/types.h"
#include "Source/decision/failover_controller.h"
#include "Source/decision/group_scheduler.h"
#include "Source/proto/proxy.pb.h"
#include "Source/proto/target.pb.h"
#include "Source/runtime/request_rules.h"

namespace heatherwick {

Position FromProto(const proto::Position& position);
void ToProto(Position position, proto::Position* out);

TargetStatus StatusOf(const proto::StatusReply& reply);
TargetHealth HealthOf(const proto::StatusReply& reply);

// Returns whether the request may be queued again: the target refused it before
// execution, and another target, or the same target later, may accept it.
bool MayRequeue(proto::Refusal refusal);
// Returns whether the refusal means that the target is not, or is no longer,
// the primary of the term named in the statement.
bool DeniesPrimaryRole(proto::Refusal refusal);

// Builds the statement for a caller's request. `term` is the term of the
// primary that the statement goes to, or 0 if it goes to a replica.
proto::StatementRequest MakeStatement(const proto::ExecuteRequest& request,
                                      const RequestRules& rules,
                                      uint64_t term,
                                      Position min_position);

}  // namespace heatherwick

#endif  // SOURCE_RUNTIME_TARGET_MESSAGES_H_
