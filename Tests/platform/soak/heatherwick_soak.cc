// Runs the fault soak. Prints the faults, a summary and each violated
// guarantee; exits with status 1 when there is a violation.

#include <popt.h>
#include <signal.h>

#include <cstdlib>
#include <exception>
#include <filesystem>
#include <iostream>
#include <string>
#include <vector>

#include "Tests/platform/soak/port_block.h"
#include "Tests/platform/soak/soak.h"

namespace heatherwick::platform {
namespace {

constexpr int kUsageExitStatus = 2;

bool ParseOptions(int argc, const char** argv, SoakOptions* options) {
  char* program = nullptr;
  int restart_often = 0;
  int orders_late = 0;
  int store_returns = 0;
  int peer_links = 0;
  int long_faults = 0;
  int calm = 0;
  const poptOption table[] = {
      {"seed", 's', POPT_ARG_INT, &options->seed, 0, "Seed of the faults.",
       "NUMBER"},
      {"seconds", 't', POPT_ARG_INT, &options->seconds, 0,
       "Time with faults, in seconds.", "SECONDS"},
      {"instances", 'n', POPT_ARG_INT, &options->instances, 0,
       "Processes to start.", "NUMBER"},
      {"groups", 'g', POPT_ARG_INT, &options->groups, 0, "Groups of databases.",
       "NUMBER"},
      {"restart-often", 'r', POPT_ARG_NONE, &restart_often, 0,
       "End and start instances far more often.", nullptr},
      {"orders-late", 'l', POPT_ARG_NONE, &orders_late, 0,
       "Inject faults between orders of promotions and their effects.",
       nullptr},
      {"store-returns", 'c', POPT_ARG_NONE, &store_returns, 0,
       "Let the store return from copies that are some seconds old.", nullptr},
      {"peer-links", 'k', POPT_ARG_NONE, &peer_links, 0,
       "Disturb the connections between instances, and cut instances off.",
       nullptr},
      {"long-faults", 'f', POPT_ARG_NONE, &long_faults, 0,
       "Pause instances for long, and end with a loss of power.", nullptr},
      {"calm", 'q', POPT_ARG_NONE, &calm, 0,
       "Inject only what the other options ask for.", nullptr},
      {"workspaces", 'w', POPT_ARG_INT, &options->workspaces, 0,
       "Workspaces with keys and quotas; 0 for none.", "NUMBER"},
      {"sync-replicas", 'y', POPT_ARG_INT, &options->sync_replicas, 0,
       "Replicas that receive a commit before it is acknowledged.", "NUMBER"},
      {"program", 'p', POPT_ARG_STRING, &program, 0,
       "The heatherwick-platform to start.", "PATH"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context =
      poptGetContext("heatherwick-soak", argc, argv, table, 0);
  const int parsed = poptGetNextOpt(context);
  options->program = program == nullptr ? "" : program;
  options->restart_often = restart_often != 0;
  options->orders_late = orders_late != 0;
  options->store_returns = store_returns != 0;
  options->peer_links = peer_links != 0;
  options->long_faults = long_faults != 0;
  options->calm = calm != 0;
  free(program);
  const bool in_range = !options->program.empty() && options->instances > 0 &&
                        options->groups > 0 && options->workspaces >= 0 &&
                        options->sync_replicas >= 0 &&
                        options->sync_replicas <= kMaxSyncReplicas;
  if (parsed < -1) {
    std::cerr << "heatherwick-soak: " << poptStrerror(parsed) << ": "
              << poptBadOption(context, 0) << "\n";
  } else if (!in_range) {
    std::cerr << "heatherwick-soak: --program names the heatherwick-platform "
                 "to start; --instances and --groups are at least 1, "
                 "--workspaces is at least 0, --sync-replicas is from 0 to "
              << kMaxSyncReplicas << "\n";
  }
  poptFreeContext(context);
  return parsed == -1 && in_range;
}

int Main(int argc, const char** argv) {
  SoakOptions options;
  if (!ParseOptions(argc, argv, &options)) {
    return kUsageExitStatus;
  }
  signal(SIGPIPE, SIG_IGN);
  auto* const soak = new Soak(options);
  std::vector<std::string> violations;
  try {
    violations = soak->Run();
  } catch (const PortTakenError&) {
    soak->EndProcesses();
    throw;
  }
  for (const std::string& violation : violations) {
    std::cout << "BROKEN " << violation << "\n";
  }
  std::cout << "seed=" << options.seed << " broken=" << violations.size();
  if (violations.empty()) {
    std::filesystem::remove_all(soak->Directory());
  } else {
    std::cout << " logs=" << soak->Directory();
  }
  std::cout << std::endl;
  // Exits without destructors, because the stand-ins' threads still run.
  std::_Exit(violations.empty() ? 0 : 1);
}

}  // namespace
}  // namespace heatherwick::platform

int main(int argc, char** argv) {
  try {
    return heatherwick::platform::Main(argc, const_cast<const char**>(argv));
  } catch (const std::exception& error) {
    std::cerr << "heatherwick-soak: " << error.what() << std::endl;
    const bool port_taken =
        dynamic_cast<const heatherwick::platform::PortTakenError*>(&error) !=
        nullptr;
    // Exits without destructors, because the stand-ins' threads still run.
    std::_Exit(port_taken ? 2 : 1);
  }
}
