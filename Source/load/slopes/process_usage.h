// Reads the memory and processor time of this or another process.

#ifndef SOURCE_LOAD_SLOPES_PROCESS_USAGE_H_
#define SOURCE_LOAD_SLOPES_PROCESS_USAGE_H_

#include <string>

namespace heatherwick {

struct ProcessUsage {
  double resident_bytes = 0;
  double processor_seconds = 0;  // User and system.
};

// `pid` is a number or "self", as in /proc. Returns zeros if there is no such
// process.
ProcessUsage UsageOf(const std::string& pid);

}  // namespace heatherwick

#endif  // SOURCE_LOAD_SLOPES_PROCESS_USAGE_H_
