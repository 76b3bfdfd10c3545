// Names of statement kinds and reply codes.

#include "Source/gateway/statement.h"

#include "Source/base/enum_table.h"

namespace heatherwick {
namespace {

constexpr EnumName<StatementKind> kKindNames[] = {
    {StatementKind::kBegin, "begin"},
    {StatementKind::kBeginReadOnly, "begin_read_only"},
    {StatementKind::kCommit, "commit"},
    {StatementKind::kRollback, "rollback"},
    {StatementKind::kRead, "read"},
    {StatementKind::kWrite, "write"},
    {StatementKind::kSet, "set"},
    {StatementKind::kPrepareRead, "prepare_read"},
    {StatementKind::kPrepareWrite, "prepare_write"},
    {StatementKind::kExecute, "execute"},
    {StatementKind::kDeallocate, "deallocate"},
    {StatementKind::kReset, "reset"},
    {StatementKind::kStatus, "status"},
};

constexpr EnumName<ReplyCode> kCodeNames[] = {
    {ReplyCode::kComplete, "complete"},
    {ReplyCode::kBusy, "busy"},
    {ReplyCode::kAborted, "aborted"},
    {ReplyCode::kLagging, "lagging"},
    {ReplyCode::kReadOnly, "read_only"},
    {ReplyCode::kMoved, "moved"},
    {ReplyCode::kTooManyConnections, "too_many_connections"},
    {ReplyCode::kNoStatement, "no_statement"},
    {ReplyCode::kInDoubt, "in_doubt"},
    {ReplyCode::kTimeout, "timeout"},
    {ReplyCode::kFailed, "failed"},
    {ReplyCode::kNoDatabase, "no_database"},
    {ReplyCode::kMalformed, "malformed"},
    {ReplyCode::kTooLarge, "too_large"},
    {ReplyCode::kOther, "other"},
};

}  // namespace

absl::string_view StatementKindName(StatementKind kind) {
  return NameOf(kKindNames, kind);
}

absl::string_view ReplyCodeName(ReplyCode code) {
  return NameOf(kCodeNames, code);
}

bool MeansNotRun(ReplyCode code) {
  switch (code) {
    case ReplyCode::kBusy:
    case ReplyCode::kLagging:
    case ReplyCode::kReadOnly:
    case ReplyCode::kMoved:
    case ReplyCode::kTooManyConnections:
    case ReplyCode::kNoStatement:
      return true;
    default:
      return false;
  }
}

}  // namespace heatherwick
