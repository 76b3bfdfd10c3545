// The outcome of a call to an instance, as far as the client knows it.

#ifndef SOURCE_CLIENT_CALL_RESULT_H_
#define SOURCE_CLIENT_CALL_RESULT_H_

#include <string>

#include "Source/client/exit_code.h"

namespace heatherwick {

enum class CallOutcome {
  kAnswered,  // An instance replied.
  kNotSent,   // No instance could be reached, so none received the call.
  kUnknown,   // The call was sent, but no reply arrived: it may have run.
};

struct CallResult {
  CallOutcome outcome = CallOutcome::kNotSent;
  // The instance that answered; empty if none did.
  std::string address;
  // One line of error text for each instance that did not answer.
  std::string failures;
};

// Returns the exit code of a call that ended with `result`. `modifies_state`
// says whether the call could have changed something, so that an unknown
// outcome needs its own exit code.
ExitCode ExitCodeOfCall(const CallResult& result, bool modifies_state);

}  // namespace heatherwick

#endif  // SOURCE_CLIENT_CALL_RESULT_H_
