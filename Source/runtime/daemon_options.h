// Settings of heatherwickd.

#ifndef SOURCE_RUNTIME_DAEMON_OPTIONS_H_
#define SOURCE_RUNTIME_DAEMON_OPTIONS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "Source/base/decision_log.h"
#include "Source/base/settings.h"
#include "Source/decision/group_scheduler.h"
#include "absl/time/time.h"

namespace heatherwick {

struct DaemonOptions {
  std::string instance_id;
  std::string listen;  // IP:port, also the address that peers use.
  std::string region;
  std::string data_centre;
  std::string platform;  // IP:port of the platform's service.
  std::string store = "grpc";
  std::string target_driver = "grpc";
  DecisionLogLevel log_level = DecisionLogLevel::kSampled;
  // Maximum log lines a second for each kind of decision at kSampled.
  uint64_t decision_lines = 100;
  uint64_t threads = 4;  // For calls of peers and operators.
  absl::Duration stop_timeout = absl::Seconds(20);
  SchedulerOptions scheduler;

  bool print_settings = false;
  ParsedSettings parsed;
};

// Returns the parser of the daemon's settings. It stores the values in
// `options`, which must outlive it.
SettingsParser MakeDaemonSettings(DaemonOptions* options);

}  // namespace heatherwick

#endif  // SOURCE_RUNTIME_DAEMON_OPTIONS_H_
