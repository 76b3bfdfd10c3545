// Failures that all commands report alike.

#include "Source/client/command.h"

namespace heatherwick {

ExitCode CommandContext::Fail(ExitCode code, const std::string& message) const {
  *err << "heatherwick: " << message << '\n';
  return code;
}

ExitCode CommandContext::FailCall(const CallResult& result,
                                  bool changes) const {
  *err << result.failures;
  const ExitCode code = ExitCodeOfCall(result, changes);
  return Fail(code, code == ExitCode::kUnknown
                        ? "the outcome is unknown; find it out before you "
                          "repeat the command"
                        : "no instance answered; nothing was changed");
}

}  // namespace heatherwick
