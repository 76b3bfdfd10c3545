// The subcommand "heatherwick-load run", which puts real proxies under load.

#ifndef SOURCE_LOAD_PROCESS_LOAD_COMMAND_H_
#define SOURCE_LOAD_PROCESS_LOAD_COMMAND_H_

#include <string>
#include <vector>

namespace heatherwick {

// `arguments` are those after "run". Returns the exit status: 0 on success, 1
// after a violation, 2 for wrong settings, if the run cannot start or if the
// JSON file cannot be written.
int RunProcessLoadCommand(const std::vector<std::string>& arguments);

}  // namespace heatherwick

#endif  // SOURCE_LOAD_PROCESS_LOAD_COMMAND_H_
