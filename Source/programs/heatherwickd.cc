// Entry point of the daemon heatherwickd: reads the settings, handles signals,
// and starts and stops the daemon.

#include <signal.h>
#include <time.h>

#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "Source/base/log_writer.h"
#include "Source/base/settings.h"
#include "Source/runtime/daemon.h"
#include "Source/runtime/daemon_options.h"
#include "absl/strings/str_cat.h"
#include "glog/logging.h"

namespace heatherwick {
namespace {

constexpr int kExitUsage = 2;
constexpr int kExitStartFailed = 3;
constexpr timespec kSignalPollInterval = {.tv_sec = 0, .tv_nsec = 100'000'000};

// Blocks SIGTERM and SIGINT in this thread and the threads that it starts
// later, so that only WaitForStop receives them. Ignores SIGPIPE.
sigset_t BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  return signals;
}

// Returns when a stop signal arrives or an operator has asked for a drain.
void WaitForStop(const sigset_t& signals, const Daemon& daemon) {
  while (!daemon.DrainRequested()) {
    if (sigtimedwait(&signals, nullptr, &kSignalPollInterval) > 0) {
      return;
    }
  }
}

void PrintSettings(const ParsedSettings& parsed) {
  for (const EffectiveSetting& setting : parsed.effective) {
    std::cout << setting.name << "=" << setting.value << " ("
              << SettingSourceName(setting.source) << ")\n";
  }
}

int Run(int argc, char** argv) {
  DaemonOptions options;
  const SettingsParser settings = MakeDaemonSettings(&options);
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  const auto parsed =
      settings.Parse(arguments, SettingsParser::ProcessEnvironment());
  if (!Ok(parsed)) {
    std::cerr << "heatherwickd: " << ErrorOf(parsed).Describe()
              << "\nsee heatherwickd --help\n";
    return kExitUsage;
  }
  options.parsed = ValueOf(parsed);
  if (options.parsed.help_requested) {
    std::cout << settings.Help();
    return 0;
  }
  if (!options.parsed.arguments.empty()) {
    std::cerr << "heatherwickd: unexpected argument \""
              << options.parsed.arguments.front()
              << "\"; settings are given as flags or environment "
                 "variables, see heatherwickd --help\n";
    return kExitUsage;
  }
  if (options.print_settings) {
    PrintSettings(options.parsed);
    return 0;
  }
  const sigset_t signals = BlockStopSignals();
  const LogWriter log_writer({});
  auto started = Daemon::Start(options);
  if (!Ok(started)) {
    std::cerr << "heatherwickd: " << ErrorOf(started).Describe() << "\n";
    return kExitStartFailed;
  }
  const std::unique_ptr<Daemon> daemon = std::move(ValueOf(started));
  LOG(INFO) << "started instance=" << options.instance_id
            << " listen=" << options.listen;
  WaitForStop(signals, *daemon);
  LOG(INFO) << "stopping instance=" << options.instance_id;
  daemon->Stop();
  LOG(INFO) << "stopped instance=" << options.instance_id;
  return 0;
}

}  // namespace
}  // namespace heatherwick

int main(int argc, char** argv) {
  google::InitGoogleLogging(argv[0]);
  return heatherwick::Run(argc, argv);
}
