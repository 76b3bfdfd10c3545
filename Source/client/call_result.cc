// Maps calls without an answer to exit codes.

#include "Source/client/call_result.h"

namespace heatherwick {

ExitCode ExitCodeOfCall(const CallResult& result, bool changes) {
  if (result.outcome == CallOutcome::kAnswered) {
    return ExitCode::kDone;
  }
  return changes && result.outcome == CallOutcome::kUnknown
             ? ExitCode::kUnknown
             : ExitCode::kUnavailable;
}

}  // namespace heatherwick
