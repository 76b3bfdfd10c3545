// heatherwick-load run: the subcommand that loads real proxies.

#ifndef SOURCE_LOAD_PROCESS_LOAD_COMMAND_H_
#define SOURCE_LOAD_PROCESS_LOAD_COMMAND_H_

#include <string>
#include <vector>

namespace heatherwick {

// `arguments` are those behind "run". Returns the exit status: 0, 1 after a
// violation, 2 for wrong settings.
int RunProcessLoadCommand(const std::vector<std::string>& arguments);

}  // namespace heatherwick

#endif  // SOURCE_LOAD_PROCESS_LOAD_COMMAND_H_
