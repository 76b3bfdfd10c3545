// Reports errors in the same way for all commands.

#include "Source/client/command.h"

namespace heatherwick {

ExitCode CommandContext::Fail(ExitCode code, const std::string& message) const {
  *err << "heatherwick: " << message << '\n';
  return code;
}

ExitCode CommandContext::FailUnansweredCall(const CallResult& result,
                                            bool modifies_state) const {
  *err << result.failures;
  const ExitCode code = ExitCodeOfCall(result, modifies_state);
  return Fail(code, code == ExitCode::kUnknown
                        ? "the outcome is unknown; find out whether the "
                          "change was made before you repeat the command"
                        : "no instance answered; nothing was changed");
}

}  // namespace heatherwick
