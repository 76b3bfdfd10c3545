// Entry point of heatherwick-slopes, which measures how a cost, such as memory
// or messages, grows with a size, such as the number of instances. Each such
// measurement is called a slope; the results go into docs/CAPACITY.md.

#include <cstdint>
#include <cstdio>
#include <exception>
#include <fstream>
#include <string>
#include <vector>

#include "Source/base/settings.h"
#include "Source/load/slopes/connection_slope.h"
#include "Source/load/slopes/list_slope.h"
#include "Source/load/slopes/membership_slope.h"
#include "Source/load/slopes/placement_slope.h"
#include "Source/load/slopes/slope_report.h"

namespace {

constexpr uint64_t kMaxPort = 65535;
constexpr uint64_t kMaxConnections = 8000;

struct Flags {
  uint64_t seed = 1;
  uint64_t runs = 5;
  uint64_t port = 47613;
  uint64_t connections = 2000;
  std::string server_pid = "self";
  std::string json;
  absl::Duration serve = absl::Seconds(60);
};

heatherwick::SettingsParser MakeParser(Flags* flags) {
  heatherwick::SettingsParser parser(
      "heatherwick-slopes "
      "placement|membership|spread|regions|mass-change|list-reads|"
      "connections|connection-server",
      "Measures how a cost (such as memory or messages) grows with a size "
      "(such as the number of instances or connections).");
  parser.AddUint("seed", "N", "seed of all randomness", 0, UINT32_MAX,
                 &flags->seed);
  parser.AddUint("runs", "N",
                 "runs for each data point of the measurement \"spread\"", 1,
                 100, &flags->runs);
  parser.AddUint("port", "PORT", "port of connection-server", 1, kMaxPort,
                 &flags->port);
  parser.AddUint("connections", "N", "most connections to open", 4,
                 kMaxConnections, &flags->connections);
  parser.AddString("server-pid", "PID", "process of connection-server",
                   &flags->server_pid);
  parser.AddDuration("serve", "TIME", "time that connection-server runs",
                     absl::Seconds(1), absl::Minutes(10), &flags->serve);
  parser.AddString("json", "FILE", "file for the figures as JSON",
                   &flags->json);
  return parser;
}

// Runs the subcommand `slope`: a measurement, or the server that the
// measurement `connections` uses. Returns false if there is no such subcommand.
bool Measure(const std::string& slope,
             const Flags& flags,
             heatherwick::SlopeReport* report) {
  if (slope == "placement") {
    heatherwick::MeasurePlacement(report);
  } else if (slope == "membership") {
    heatherwick::MeasureMembershipCost(flags.seed, report);
  } else if (slope == "spread") {
    heatherwick::MeasureSpread(flags.seed, flags.runs, report);
  } else if (slope == "regions") {
    heatherwick::MeasureRegions(flags.seed, report);
  } else if (slope == "mass-change") {
    heatherwick::MeasureMassChange(flags.seed, report);
  } else if (slope == "list-reads") {
    heatherwick::MeasureListReads(flags.seed, report);
  } else if (slope == "connections") {
    heatherwick::MeasureConnections(flags.port, flags.server_pid,
                                    flags.connections, report);
  } else if (slope == "connection-server") {
    heatherwick::ServeConnections(flags.port, flags.serve);
  } else {
    return false;
  }
  return true;
}

int Run(const std::vector<std::string>& command_line) {
  Flags flags;
  const heatherwick::SettingsParser parser = MakeParser(&flags);
  const auto parsed = parser.Parse(
      command_line, heatherwick::SettingsParser::ProcessEnvironment());
  if (!heatherwick::Ok(parsed)) {
    std::fprintf(stderr, "%s\n",
                 heatherwick::ErrorOf(parsed).Describe().c_str());
    return 2;
  }
  const auto& arguments = heatherwick::ValueOf(parsed).arguments;
  const std::string slope = arguments.empty() ? "" : arguments[0];
  heatherwick::SlopeReport report(slope);
  if (heatherwick::ValueOf(parsed).help_requested ||
      !Measure(slope, flags, &report)) {
    std::printf("%s", parser.Help().c_str());
    return heatherwick::ValueOf(parsed).help_requested ? 0 : 2;
  }
  if (!flags.json.empty()) {
    std::ofstream(flags.json) << report.ToJson() << "\n";
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(std::vector<std::string>(argv + 1, argv + argc));
  } catch (const std::exception& error) {
    std::fprintf(stderr, "heatherwick-slopes: %s\n", error.what());
    return 1;
  }
}
