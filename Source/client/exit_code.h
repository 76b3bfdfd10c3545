// Exit codes of the program heatherwick. Scripts depend on them, so the meaning
// of a code must not change.

#ifndef SOURCE_CLIENT_EXIT_CODE_H_
#define SOURCE_CLIENT_EXIT_CODE_H_

#include <string>

#include "absl/strings/string_view.h"

namespace heatherwick {

enum class ExitCode {
  kDone = 0,
  kRefused = 1,      // Refused by the instance, or not run for another reason.
  kUsage = 2,        // Wrong command line or bad input.
  kUnavailable = 3,  // No instance answered; nothing was changed.
  kUnknown = 4,      // The change may have been made.
  kConflict = 5,     // A concurrent change was accepted first.
};

// Returns the exit code for the error kind of a reply.
ExitCode ExitCodeOfErrorKind(absl::string_view error_kind);

// Returns the section of --help that explains the codes.
std::string ExitCodeHelp();

}  // namespace heatherwick

#endif  // SOURCE_CLIENT_EXIT_CODE_H_
