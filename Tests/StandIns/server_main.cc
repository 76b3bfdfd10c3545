// Implements the settings, start and shutdown that the stand-ins share.

#include "Tests/StandIns/server_main.h"

#include <pthread.h>
#include <signal.h>

#include <chrono>
#include <cstdio>

#include "absl/strings/str_split.h"

namespace heatherwick {

namespace {

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

}  // namespace

std::optional<int> ReadStandInSettings(const SettingsParser& parser,
                                       int argc,
                                       char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  const auto parsed = parser.Parse(arguments, {});
  if (!Ok(parsed)) {
    fprintf(stderr, "%s\n", ErrorOf(parsed).Describe().c_str());
    return 2;
  }
  if (ValueOf(parsed).help_requested) {
    printf("%s", parser.Help().c_str());
    return 0;
  }
  return std::nullopt;
}

std::map<std::string, std::string> ParseIdList(const std::string& text) {
  std::map<std::string, std::string> list;
  for (absl::string_view item : absl::StrSplit(text, ',', absl::SkipEmpty())) {
    const std::pair<std::string, std::string> parts =
        absl::StrSplit(item, absl::MaxSplits('@', 1));
    list.insert(parts);
  }
  return list;
}

void BlockStopSignals() {
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

int RunServer(const std::string& listen,
              const std::vector<grpc::Service*>& services,
              const std::function<void()>& on_stop) {
  grpc::ServerBuilder builder;
  int port = 0;
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  builder.AddListeningPort(listen, grpc::InsecureServerCredentials(), &port);
  for (grpc::Service* service : services) {
    builder.RegisterService(service);
  }
  const std::unique_ptr<grpc::Server> server = builder.BuildAndStart();
  if (server == nullptr || port == 0) {
    fprintf(stderr, "cannot listen on %s; choose a free address\n",
            listen.c_str());
    return 1;
  }
  const sigset_t signals = StopSignals();
  int signal = 0;
  sigwait(&signals, &signal);
  on_stop();
  server->Shutdown(std::chrono::system_clock::now() +
                   std::chrono::milliseconds(500));
  server->Wait();
  return 0;
}

}  // namespace heatherwick
