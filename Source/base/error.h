// Typed errors and the result type that carries them.

#ifndef SOURCE_BASE_ERROR_H_
#define SOURCE_BASE_ERROR_H_

#include <string>
#include <utility>
#include <variant>

#include "absl/strings/string_view.h"

namespace heatherwick {

enum class ErrorKind {
  kInvalidArgument,   // The input is wrong; a retry cannot succeed.
  kNotFound,          // The name is unknown.
  kOverloaded,        // Refused by admission control; retry later.
  kDeadlineExceeded,  // The deadline passed.
  kNoPrimary,         // The group currently has no primary.
  kStale,             // No target is fresh enough for the read.
  kNotHome,           // Another instance is the home of the group.
  kConflict,          // A concurrent change was accepted first.
  kUnavailable,       // A peer, target or store did not answer.
  kTransactionLost,   // The transaction no longer exists.
  kKeyRefused,        // Resolve settled the idempotency key as not run.
  kLeaving,           // The instance or target is shutting down.
  kStatementFailed,   // The target ran the statement and reported an error.
  kNotSent,  // No connection, or a peer without this call; nothing ran.
  kInternal,
};

absl::string_view ErrorKindName(ErrorKind kind);

struct Error {
  ErrorKind kind = ErrorKind::kInternal;
  std::string message;  // What is wrong, with the names involved.
  std::string remedy;   // What the reader of the message can do; may be empty.

  // Returns "message; remedy", or only the message without a remedy.
  std::string Describe() const;
};

template <typename T>
using Result = std::variant<T, Error>;

// The result of an operation that returns no value on success.
using Status = Result<std::monostate>;

template <typename T>
bool Ok(const Result<T>& result) {
  return result.index() == 0;
}

// Returns the value of `result`, which must be Ok.
template <typename T>
T& ValueOf(Result<T>& result) {
  return std::get<0>(result);
}

template <typename T>
const T& ValueOf(const Result<T>& result) {
  return std::get<0>(result);
}

// Returns the error of `result`, which must not be Ok.
template <typename T>
const Error& ErrorOf(const Result<T>& result) {
  return std::get<1>(result);
}

}  // namespace heatherwick

#endif  // SOURCE_BASE_ERROR_H_
