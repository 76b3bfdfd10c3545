// Maps error kinds to their names and formats errors.

#include "Source/base/error.h"

#include "Source/base/enum_table.h"
#include "absl/strings/str_cat.h"

namespace heatherwick {

namespace {

constexpr EnumName<ErrorKind> kErrorKindNames[] = {
    {ErrorKind::kInvalidArgument, "invalid_argument"},
    {ErrorKind::kNotFound, "not_found"},
    {ErrorKind::kOverloaded, "overloaded"},
    {ErrorKind::kDeadlineExceeded, "deadline_exceeded"},
    {ErrorKind::kNoPrimary, "no_primary"},
    {ErrorKind::kStale, "stale"},
    {ErrorKind::kNotHome, "not_home"},
    {ErrorKind::kConflict, "conflict"},
    {ErrorKind::kUnavailable, "unavailable"},
    {ErrorKind::kTransactionLost, "transaction_lost"},
    {ErrorKind::kKeyRefused, "key_refused"},
    {ErrorKind::kLeaving, "leaving"},
    {ErrorKind::kStatementFailed, "statement_failed"},
    {ErrorKind::kNotSent, "not_sent"},
    {ErrorKind::kInternal, "internal"},
};

}  // namespace

absl::string_view ErrorKindName(ErrorKind kind) {
  return NameOf(kErrorKindNames, kind);
}

std::string Error::Describe() const {
  return remedy.empty() ? message : absl::StrCat(message, "; ", remedy);
}

}  // namespace heatherwick
