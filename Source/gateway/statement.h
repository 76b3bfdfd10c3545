// Statements of callers and replies of targets, free of any wire format.

#ifndef SOURCE_GATEWAY_STATEMENT_H_
#define SOURCE_GATEWAY_STATEMENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Source/base/types.h"
#include "absl/strings/string_view.h"

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
  // Commands that the gateway itself issues to a target.
  kReset,
  kStatus,
};

absl::string_view StatementKindName(StatementKind kind);

// One statement of a caller.
struct Statement {
  std::string id;  // Chosen by the caller; names the request in every log.
  StatementKind kind = StatementKind::kRead;
  std::string text;  // As received; reads, writes and commits keep it.
  // kSet: name of the session value. kPrepare*, kExecute, kDeallocate: name
  // of the prepared statement.
  std::string name;
  // kSet: the value. kPrepare*: the shape. kExecute: the arguments.
  std::string argument;
};

enum class ReplyCode {
  kComplete,
  // Not run; the caller may repeat the operation.
  kBusy,
  kAborted,
  kLagging,
  kReadOnly,
  kMoved,
  kTooManyConnections,
  kNoStatement,
  // May have run.
  kInDoubt,
  kTimeout,
  kFailed,
  // The request is wrong.
  kNoDatabase,
  kMalformed,
  kTooLarge,
  // A code that this version does not know; may have run.
  kOther,
};

absl::string_view ReplyCodeName(ReplyCode code);

// True when the target states that the statement did not run.
bool StatesNotRun(ReplyCode code);

enum class TransactionState { kIdle, kOpen, kFailed };

// The reply to one statement.
struct Reply {
  ReplyCode code = ReplyCode::kComplete;
  std::vector<std::string> rows;
  std::string signature = "-";  // Of a completed statement.
  std::string error_code;       // As the target spelled it.
  std::string error_text;
  TransactionState state = TransactionState::kIdle;
  std::optional<Position> position;
};

// How a target describes itself.
struct TargetStatus {
  bool primary = false;
  uint64_t term = 0;           // Term of its log.
  Position received;           // End of its log.
  uint64_t promised_term = 0;  // No term below it is followed; 0 for none.
  uint64_t lag_ms = 0;
};

}  // namespace heatherwick

#endif  // SOURCE_GATEWAY_STATEMENT_H_
