// Runs the gRPC server of a stand-in until SIGTERM or SIGINT.

#ifndef TESTS_STANDINS_SERVER_MAIN_H_
#define TESTS_STANDINS_SERVER_MAIN_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "Source/base/settings.h"
#include "grpcpp/grpcpp.h"

namespace heatherwick {

// Prints help or mistakes; returns an exit code, or nothing to go on.
std::optional<int> ReadStandInSettings(const SettingsParser& parser,
                                       int argc,
                                       char** argv);

// Parses "id@rest,id@rest,...".
std::map<std::string, std::string> ParseIdList(const std::string& text);

// Call before any thread starts, so that every thread leaves the signals to
// RunServer.
void BlockStopSignals();

// Returns the exit code. `on_stop` runs before the server shuts down.
int RunServer(const std::string& listen,
              const std::vector<grpc::Service*>& services,
              const std::function<void()>& on_stop);

}  // namespace heatherwick

#endif  // TESTS_STANDINS_SERVER_MAIN_H_
