// Exit codes of the program heatherwick. Scripts depend on them: a code
// keeps its meaning.

#ifndef SOURCE_CLIENT_EXIT_CODE_H_
#define SOURCE_CLIENT_EXIT_CODE_H_

#include <string>

#include "absl/strings/string_view.h"

namespace heatherwick {

enum class ExitCode {
  kDone = 0,
  kRefused = 1,      // Refused, or not run.
  kUsage = 2,        // Wrong command line or bad input.
  kUnavailable = 3,  // Nobody answered; nothing was changed.
  kUnknown = 4,      // The change may have been made.
  kConflict = 5,     // A concurrent change won.
};

// The exit code for an error kind of a reply.
ExitCode ExitCodeOfErrorKind(absl::string_view error_kind);

// The lines of --help that explain the codes.
std::string ExitCodeHelp();

}  // namespace heatherwick

#endif  // SOURCE_CLIENT_EXIT_CODE_H_
