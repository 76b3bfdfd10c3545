// The meanings of the exit codes, and the mapping from error kinds to exit
// codes.

#include "Source/client/exit_code.h"

#include "Source/base/enum_table.h"
#include "Source/base/error.h"
#include "absl/strings/str_cat.h"

namespace heatherwick {

namespace {

constexpr EnumName<ExitCode> kExitCodes[] = {
    {ExitCode::kDone, "done"},
    {ExitCode::kRefused, "refused or not run"},
    {ExitCode::kUsage, "wrong command line or bad input"},
    {ExitCode::kUnavailable, "nobody answered; nothing was changed"},
    {ExitCode::kUnknown, "outcome unknown; the change may have been made"},
    {ExitCode::kConflict, "a concurrent change won"},
};

struct ErrorKindExitCode {
  ErrorKind kind;
  ExitCode code;
};

// Error kinds that are not listed map to ExitCode::kRefused.
constexpr ErrorKindExitCode kErrorKindExitCodes[] = {
    {ErrorKind::kInvalidArgument, ExitCode::kUsage},
    {ErrorKind::kUnavailable, ExitCode::kUnavailable},
    // A submission ends with this kind when the store did not answer and the
    // sheet may have been accepted.
    {ErrorKind::kDeadlineExceeded, ExitCode::kUnknown},
    {ErrorKind::kConflict, ExitCode::kConflict},
};

}  // namespace

ExitCode ExitCodeOfErrorKind(absl::string_view error_kind) {
  for (const ErrorKindExitCode& row : kErrorKindExitCodes) {
    if (ErrorKindName(row.kind) == error_kind) {
      return row.code;
    }
  }
  return ExitCode::kRefused;
}

std::string ExitCodeHelp() {
  std::string help = "Exit codes:\n";
  for (const EnumName<ExitCode>& row : kExitCodes) {
    absl::StrAppend(&help, "  ", static_cast<int>(row.value), "  ", row.name,
                    "\n");
  }
  return help;
}

}  // namespace heatherwick
