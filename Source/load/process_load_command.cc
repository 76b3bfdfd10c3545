// Parses the settings of "heatherwick-load run" and starts the load.

#include "Source/load/process_load_command.h"

#include <cstdio>
#include <exception>

#include "Source/load/process_load.h"

namespace heatherwick {

namespace {

constexpr int kExitUsage = 2;

int Run(const std::vector<std::string>& arguments) {
  ProcessLoadOptions options;
  SettingsParser parser(
      "heatherwick-load run",
      "Loads proxies for a bounded time, then verifies every request.");
  AddProcessLoadSettings(&parser, &options);
  const auto parsed =
      parser.Parse(arguments, SettingsParser::ProcessEnvironment());
  if (!Ok(parsed)) {
    fprintf(stderr, "heatherwick-load run: %s\n",
            ErrorOf(parsed).Describe().c_str());
    return kExitUsage;
  }
  if (ValueOf(parsed).help_requested) {
    printf("%s", parser.Help().c_str());
    return 0;
  }
  return ProcessLoad(options).Run();
}

}  // namespace

int RunProcessLoadCommand(const std::vector<std::string>& arguments) {
  try {
    return Run(arguments);
  } catch (const std::exception& error) {
    // For example, the system cannot create a thread for each session.
    fprintf(stderr, "heatherwick-load run: %s\n", error.what());
    return kExitUsage;
  }
}

}  // namespace heatherwick
