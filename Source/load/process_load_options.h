// Settings of a load run against real proxies.

#ifndef SOURCE_LOAD_PROCESS_LOAD_OPTIONS_H_
#define SOURCE_LOAD_PROCESS_LOAD_OPTIONS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "Source/base/settings.h"
#include "absl/time/time.h"

namespace heatherwick {

struct LoadCaller {
  std::string name;
  uint64_t weight = 1;
};

struct LoadReadKind {
  std::string name;
  uint64_t weight = 1;
  absl::Duration max_age;  // As stated in the sheet; zero: current data.
};

struct ProcessLoadOptions {
  std::vector<std::string> proxies;  // IP:port
  std::vector<std::string> groups;
  std::vector<LoadCaller> callers;
  std::vector<LoadReadKind> read_kinds;
  std::string once_kind;        // Request kind that must not be sent again.
  std::string repeatable_kind;  // Request kind that may be sent again.
  uint64_t rate = 200;          // Arrivals per second.
  uint64_t sessions = 100;      // Each runs one request at a time.
  uint64_t write_percent = 30;
  uint64_t transaction_percent = 10;
  uint64_t long_percent = 0;  // Of the reads and single writes.
  uint64_t long_work_ms = 200;
  uint64_t seed = 1;
  absl::Duration duration = absl::Seconds(10);
  absl::Duration deadline = absl::Seconds(2);
  absl::Duration settle_limit = absl::Seconds(30);
  std::string json_file;  // Empty: JSON is not written.

  // The first kind that reads current data (its greatest age is zero), or null.
  // The verification uses it.
  const LoadReadKind* CurrentReadKind() const;
};

// Adds the flags of a run to `parser`, which stores their values in `*options`.
void AddProcessLoadSettings(SettingsParser* parser,
                            ProcessLoadOptions* options);

}  // namespace heatherwick

#endif  // SOURCE_LOAD_PROCESS_LOAD_OPTIONS_H_
