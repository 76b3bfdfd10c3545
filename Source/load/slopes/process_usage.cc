// Reads /proc/PID/statm and /proc/PID/stat.

#include "Source/load/slopes/process_usage.h"

#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>

namespace heatherwick {

namespace {

// Number of fields in /proc/PID/stat between the closing parenthesis of the
// command and the user time.
constexpr int kUserTicksField = 11;

double ProcessorSeconds(const std::string& pid) {
  std::ifstream file("/proc/" + pid + "/stat");
  std::string line;
  std::getline(file, line);
  const size_t command_end = line.rfind(')');
  if (command_end == std::string::npos) {
    return 0;
  }
  std::istringstream fields(line.substr(command_end + 1));
  std::string skipped;
  for (int i = 0; i < kUserTicksField; ++i) {
    fields >> skipped;
  }
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

}  // namespace

ProcessUsage UsageOf(const std::string& pid) {
  std::ifstream file("/proc/" + pid + "/statm");
  double size = 0;
  double resident = 0;
  file >> size >> resident;
  return {resident * static_cast<double>(sysconf(_SC_PAGESIZE)),
          ProcessorSeconds(pid)};
}

}  // namespace heatherwick
