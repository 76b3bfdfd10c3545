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

// True for refusals before execution that another target or a later moment
// may not repeat.
bool MayRequeue(proto::Refusal refusal);
// True when the target no longer leads in the term that it was asked for.
bool DeniesRole(proto::Refusal refusal);

// The statement of a caller's request for a primary of `term`, or for a
// replica when it is 0.
proto::StatementRequest MakeStatement(const proto::ExecuteRequest& request,
                                      const RequestRules& rules,
                                      uint64_t term,
                                      Position min_position);

}  // namespace heatherwick

#endif  // SOURCE_RUNTIME_TARGET_MESSAGES_H_
