// Converts positions, statuses and statements.

#include "Source/runtime/target_messages.h"

#include "absl/time/time.h"

namespace heatherwick {

Position FromProto(const proto::Position& position) {
  return {position.term(), position.lsn()};
}

void ToProto(Position position, proto::Position* out) {
  out->set_term(position.term);
  out->set_lsn(position.lsn);
}

TargetStatus StatusOf(const proto::StatusReply& reply) {
  TargetStatus status;
  status.incarnation = reply.incarnation();
  status.term = reply.term();
  status.primary = reply.primary();
  status.last = FromProto(reply.last());
  status.age = absl::Milliseconds(reply.age_ms());
  status.since_primary_contact = absl::Milliseconds(reply.primary_silent_ms());
  status.leaving = reply.leaving();
  return status;
}

TargetHealth HealthOf(const proto::StatusReply& reply) {
  TargetHealth health;
  health.reachable = true;
  health.leaving = reply.leaving();
  health.age = absl::Milliseconds(reply.age_ms());
  health.applied = FromProto(reply.applied());
  health.queued = reply.queued();
  return health;
}

bool MayRequeue(proto::Refusal refusal) {
  switch (refusal) {
    case proto::NOT_PRIMARY:
    case proto::TERM_FENCED:
    case proto::TOO_OLD:
    case proto::BEHIND_POSITION:
    case proto::NO_SLOT:
    case proto::NO_CONNECTION:
    case proto::LEAVING:
      return true;
    default:
      return false;
  }
}

bool DeniesPrimaryRole(proto::Refusal refusal) {
  return refusal == proto::NOT_PRIMARY || refusal == proto::TERM_FENCED;
}

proto::StatementRequest MakeStatement(const proto::ExecuteRequest& request,
                                      const RequestRules& rules,
                                      uint64_t term,
                                      Position min_position) {
  proto::StatementRequest statement;
  statement.set_operation(request.operation());
  statement.set_statement(request.statement());
  statement.set_term(term);
  ToProto(min_position, statement.mutable_min_position());
  if (request.operation() == proto::READ &&
      rules.request_class == RequestClass::kBoundedStalenessRead) {
    statement.set_has_max_age(true);
    statement.set_max_age_ms(
        static_cast<uint32_t>(absl::ToInt64Milliseconds(rules.max_age)));
  }
  if (request.operation() == proto::WRITE ||
      request.operation() == proto::COMMIT) {
    statement.set_key(IdempotencyKey(request.caller(), request.request_key()));
  }
  return statement;
}

}  // namespace heatherwick
