// Maps the outcome of a call to an exit code.

#include "Source/client/call_result.h"

namespace heatherwick {

ExitCode ExitCodeOfCall(const CallResult& result, bool modifies_state) {
  if (result.outcome == CallOutcome::kAnswered) {
    return ExitCode::kDone;
  }
  return modifies_state && result.outcome == CallOutcome::kUnknown
             ? ExitCode::kUnknown
             : ExitCode::kUnavailable;
}

}  // namespace heatherwick
