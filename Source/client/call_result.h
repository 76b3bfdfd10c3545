// How a call of an instance ended, as far as the client can tell.

#ifndef SOURCE_CLIENT_CALL_RESULT_H_
#define SOURCE_CLIENT_CALL_RESULT_H_

#include <string>

#include "Source/client/exit_code.h"

namespace heatherwick {

enum class CallOutcome {
  kAnswered,
  kNotSent,  // No connection; the call did not arrive.
  kUnknown,  // It was sent and the answer did not come.
};

struct CallResult {
  CallOutcome outcome = CallOutcome::kNotSent;
  std::string address;  // Of the instance that answered.
  // A line for each instance that did not answer.
  std::string failures;
};

// The exit code of a call without an answer. `changes`: the call would have
// changed something.
ExitCode ExitCodeOfCall(const CallResult& result, bool changes);

}  // namespace heatherwick

#endif  // SOURCE_CLIENT_CALL_RESULT_H_
