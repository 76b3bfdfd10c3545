// Typed errors and the result type that carries them.

#ifndef SOURCE_BASE_ERROR_H_
#define SOURCE_BASE_ERROR_H_

#include <string>
#include <utility>
#include <variant>

#include "absl/strings/string_view.h"

namespace heatherwick {

enum class ErrorKind {
  kInvalidArgument,   // The input is wrong; repeating it cannot help.
  kNotFound,          // A name is unknown.
  kOverloaded,        // Refused by admission; try later.
  kDeadlineExceeded,  // Time ran out.
  kNoPrimary,         // The group has no primary at present.
  kStale,             // No target is fresh enough for the read.
  kNotHome,           // Another instance serves the group.
  kConflict,          // A concurrent change won.
  kUnavailable,       // A peer, target or store did not answer.
  kTransactionLost,   // The transaction no longer exists.
  kKeyRefused,        // The idempotency key was settled as not run.
  kLeaving,           // The instance or target is shutting down.
  kStatementFailed,   // The target ran the statement and reports a fault.
  kInternal,
};

absl::string_view ErrorKindName(ErrorKind kind);

struct Error {
  ErrorKind kind = ErrorKind::kInternal;
  std::string message;  // What is wrong, with the names involved.
  std::string remedy;   // What the reader can do.

  // "message; remedy"
  std::string Describe() const;
};

template <typename T>
using Result = std::variant<T, Error>;

// Result of an operation that returns nothing on success.
using Status = Result<std::monostate>;

template <typename T>
bool Ok(const Result<T>& result) {
  return result.index() == 0;
}

// The value of a result that is Ok.
template <typename T>
T& ValueOf(Result<T>& result) {
  return std::get<0>(result);
}

template <typename T>
const T& ValueOf(const Result<T>& result) {
  return std::get<0>(result);
}

// The error of a result that is not Ok.
template <typename T>
const Error& ErrorOf(const Result<T>& result) {
  return std::get<1>(result);
}

}  // namespace heatherwick

#endif  // SOURCE_BASE_ERROR_H_
