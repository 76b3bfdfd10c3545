// The operators' command line. The program heatherwick only calls RunClient.

#ifndef SOURCE_CLIENT_CLIENT_H_
#define SOURCE_CLIENT_CLIENT_H_

#include <ostream>
#include <string>
#include <vector>

#include "Source/base/settings.h"
#include "Source/client/exit_code.h"

namespace heatherwick {

// Runs one command. `arguments` excludes the program's name.
ExitCode RunClient(const std::vector<std::string>& arguments,
                   const SettingsParser::Environment& environment,
                   std::ostream* out,
                   std::ostream* err);

}  // namespace heatherwick

#endif  // SOURCE_CLIENT_CLIENT_H_
