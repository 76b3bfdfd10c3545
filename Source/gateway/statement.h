// Callers' statements and targets' replies, independent of any wire format.

#ifndef SOURCE_GATEWAY_STATEMENT_H_
#define SOURCE_GATEWAY_STATEMENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Source/base/types.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace heatherwick {

enum class StatementKind {
  kBegin,          // Opens a transaction that may write.
  kBeginReadOnly,  // Opens a transaction that only reads.
  kCommit,
  kRollback,
  kRead,
  kWrite,
  kSet,
  kPrepareRead,
  kPrepareWrite,
  kExecute,
  kDeallocate,
  // Commands that only the gateway sends to a target.
  kReset,
  kStatus,
};

absl::string_view StatementKindName(StatementKind kind);

// One statement from a caller.
struct Statement {
  std::string id;  // Chosen by the caller; identifies the request in all logs.
  StatementKind kind = StatementKind::kRead;
  // As received; reads, writes and commits are forwarded as is.
  std::string text;
  // kSet: name of the session value. kPrepare*, kExecute, kDeallocate: name
  // of the prepared statement.
  std::string name;
  // kSet: the value. kPrepare*: the shape. kExecute: the arguments.
  std::string argument;
};

enum class ReplyCode {
  kComplete,
  // The statement did not run; the caller may retry the operation.
  kBusy,
  kAborted,
  kLagging,
  kReadOnly,
  kMoved,
  kTooManyConnections,
  kNoStatement,
  // The statement may have run.
  kInDoubt,
  kTimeout,
  kFailed,
  // The request is wrong.
  kNoDatabase,
  kMalformed,
  kTooLarge,
  // A code that this version does not know; the statement may have run.
  kOther,
  // The caller's key belongs to no workspace. Nothing ran.
  kUnauthorized,
};

absl::string_view ReplyCodeName(ReplyCode code);

// True if the code means that the target did not run the statement.
bool MeansNotRun(ReplyCode code);

enum class TransactionState { kIdle, kOpen, kFailed };

// The reply to one statement.
struct Reply {
  ReplyCode code = ReplyCode::kComplete;
  std::vector<std::string> rows;
  std::string signature = "-";  // Set by a completed statement.
  std::string error_code;       // As the target sent it.
  std::string error_text;
  TransactionState state = TransactionState::kIdle;
  std::optional<Position> position;
  // Set with kBusy if whoever refused the statement knows that it cannot be
  // served in time: when the caller should return.
  std::optional<absl::Duration> retry_after;
};

// A target's reply to a status query.
struct TargetStatus {
  bool primary = false;
  uint64_t term = 0;           // Term of its log.
  Position received;           // End of its log.
  uint64_t promised_term = 0;  // Lower terms are rejected; 0 if unset.
  uint64_t lag_ms = 0;
};

}  // namespace heatherwick

#endif  // SOURCE_GATEWAY_STATEMENT_H_
