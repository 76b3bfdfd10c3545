// Memory and processor time of this process or of another one.

#ifndef SOURCE_LOAD_SLOPES_PROCESS_USAGE_H_
#define SOURCE_LOAD_SLOPES_PROCESS_USAGE_H_

#include <string>

namespace heatherwick {

struct ProcessUsage {
  double resident_bytes = 0;
  double processor_seconds = 0;  // User and system.
};

// `pid` as in /proc: a number or "self". Zeros when there is none.
ProcessUsage UsageOf(const std::string& pid);

}  // namespace heatherwick

#endif  // SOURCE_LOAD_SLOPES_PROCESS_USAGE_H_
