// Declares the settings of heatherwickd with their checks and help texts.

#include "Source/runtime/daemon_options.h"

#include <optional>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace heatherwick {

namespace {

constexpr char kSummary[] =
    "Usage: heatherwickd [OPTION]...\n"
    "\n"
    "Runs one heatherwick instance: a database proxy with session\n"
    "consistency. SIGTERM stops it gracefully.\n"
    "\n"
    "Example:\n"
    "  heatherwickd --instance-id=rc-a-1 --listen=127.0.0.1:7000 \\\n"
    "    --region=ro-central --data-centre=rc-a --platform=127.0.0.1:7900";

constexpr int kMaxPort = 65535;

std::optional<std::string> CheckName(const std::string& value) {
  if (value.empty() || absl::StrContains(value, "/")) {
    return "expected a name without \"/\"";
  }
  return std::nullopt;
}

std::optional<std::string> CheckAddress(const std::string& value) {
  const std::vector<std::string> parts = absl::StrSplit(value, ':');
  int port = 0;
  if (parts.size() != 2 || parts[0].empty() ||
      !absl::SimpleAtoi(parts[1], &port) || port < 1 || port > kMaxPort) {
    return "expected IP:PORT, such as 127.0.0.1:7000";
  }
  return std::nullopt;
}

void AddChecked(SettingsParser* parser,
                std::string name,
                std::string placeholder,
                std::string help,
                std::optional<std::string> (*check)(const std::string&),
                std::string* out) {
  parser->Add({std::move(name), std::move(placeholder), std::move(help), *out,
               [check, out](const std::string& value) {
                 *out = value;
                 return check(value);
               }});
}

void AddPolicies(SettingsParser* parser, SchedulerOptions* scheduler) {
  parser->AddRequiredString("queue-policy", "NAME", "Order of waiting requests",
                            &scheduler->queue_policy);
  parser->AddRequiredString("read-policy", "NAME",
                            "Choice of the target for reads",
                            &scheduler->read_policy);
  parser->AddRequiredString("connection-policy", "NAME",
                            "When connections are opened and closed",
                            &scheduler->connection_policy);
  parser->AddRequiredString("admission-policy", "NAME",
                            "Which requests are refused early",
                            &scheduler->admission_policy);
}

}  // namespace

SettingsParser MakeDaemonSettings(DaemonOptions* options) {
  SettingsParser parser("heatherwickd", kSummary);
  AddChecked(&parser, "instance-id", "NAME",
             "Name of this instance in the platform's list", CheckName,
             &options->instance_id);
  AddChecked(&parser, "listen", "IP:PORT",
             "Own address, for callers, peers and operators", CheckAddress,
             &options->listen);
  AddChecked(&parser, "region", "NAME", "Region of this instance", CheckName,
             &options->region);
  AddChecked(&parser, "data-centre", "NAME", "Data centre of this instance",
             CheckName, &options->data_centre);
  AddChecked(&parser, "platform", "IP:PORT",
             "Address of the platform's service", CheckAddress,
             &options->platform);
  parser.AddRequiredString("store", "NAME", "Driver for the platform's service",
                           &options->store);
  parser.AddRequiredString("target-driver", "NAME", "Driver for the targets",
                           &options->target_driver);
  parser.Add(
      {"log-level", "off|sampled|all",
       "Which routing and placement decisions are logged", "sampled",
       [options](const std::string& value) -> std::optional<std::string> {
         if (!DecisionLog::ParseLevel(value, &options->log_level)) {
           return "expected off, sampled or all";
         }
         return std::nullopt;
       }});
  parser.AddUint("decision-lines", "N",
                 "Log lines a second of each decision when sampled", 1, 100000,
                 &options->decision_lines);
  parser.AddUint("threads", "N", "Threads for calls of peers and operators", 1,
                 256, &options->threads);
  parser.AddDuration("stop-timeout", "TIME",
                     "Longest graceful stop; what still runs then is cut off",
                     absl::Seconds(1), absl::Minutes(10),
                     &options->stop_timeout);
  AddPolicies(&parser, &options->scheduler);
  parser.AddBool("print-settings",
                 "Print the settings in force and their sources, then exit",
                 &options->print_settings);
  return parser;
}

}  // namespace heatherwick
