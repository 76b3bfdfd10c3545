// Shared main-program code of the stand-ins: reads the settings and runs the
// gRPC server until SIGTERM or SIGINT.

#ifndef TESTS_STANDINS_SERVER_MAIN_H_
#define TESTS_STANDINS_SERVER_MAIN_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "Source/base/settings.h"
#include "grpcpp/grpcpp.h"

namespace heatherwick {

// Parses the settings. Prints the help or the error and returns the exit code
// if the program should exit, otherwise returns std::nullopt.
std::optional<int> ReadStandInSettings(const SettingsParser& parser,
                                       int argc,
                                       char** argv);

// Parses "id@rest,id@rest,..." into a map from each id to its rest.
std::map<std::string, std::string> ParseIdList(const std::string& text);

// Blocks SIGTERM and SIGINT, which RunServer waits for. Call it before any
// thread starts, because a thread inherits the blocked signals.
void BlockStopSignals();

// Serves on `listen` until a stop signal arrives and returns the exit code.
// `on_stop` runs before the server shuts down.
int RunServer(const std::string& listen,
              const std::vector<grpc::Service*>& services,
              const std::function<void()>& on_stop);

}  // namespace heatherwick

#endif  // TESTS_STANDINS_SERVER_MAIN_H_
