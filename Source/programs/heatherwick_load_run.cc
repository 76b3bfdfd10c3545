// heatherwick-load-run: loads real proxies and verifies what they told.

#include <cstdio>
#include <exception>
#include <string>
#include <vector>

#include "Source/load/process_load.h"

namespace {

int Run(int argc, char** argv) {
  heatherwick::ProcessLoadOptions options;
  heatherwick::SettingsParser parser(
      "heatherwick-load-run",
      "Loads proxies for a bounded time, then verifies every request.");
  heatherwick::AddProcessLoadSettings(&parser, &options);
  const auto parsed =
      parser.Parse(std::vector<std::string>(argv + 1, argv + argc), {});
  if (heatherwick::Ok(parsed) && heatherwick::ValueOf(parsed).help_requested) {
    printf("%s", parser.Help().c_str());
    return 0;
  }
  if (!heatherwick::Ok(parsed)) {
    fprintf(stderr, "%s\n", heatherwick::ErrorOf(parsed).Describe().c_str());
    return 2;
  }
  return heatherwick::ProcessLoad(options).Run();
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(argc, argv);
  } catch (const std::exception& error) {
    // As when the system has no room for the sessions' threads.
    fprintf(stderr, "heatherwick-load-run: %s\n", error.what());
    return 2;
  }
}
