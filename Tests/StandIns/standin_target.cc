// standin-target: an in-memory stand-in for one database of a group. Its data
// does not survive the process, so killing the process stands for a database
// that is lost for good.

#include <thread>

#include "Tests/StandIns/server_main.h"
#include "Tests/StandIns/target_service.h"

namespace {

using heatherwick::SettingsParser;
using heatherwick::TargetOptions;

void AddSettings(TargetOptions* options,
                 std::string* listen,
                 std::string* peers,
                 SettingsParser* parser) {
  parser->AddRequiredString("id", "ID", "Name of this target", &options->id);
  parser->AddRequiredString("listen", "IP:PORT", "Address", listen);
  parser->AddString("peers", "ID@IP:PORT,...", "Targets of the group", peers);
  parser->AddUint("slots", "N", "Statements that run at once", 1, 1000,
                  &options->slots);
  parser->AddUint("connections", "N", "Connection limit", 1, 10000,
                  &options->connections);
  parser->AddDuration("connect-delay", "TIME", "Cost of a new connection",
                      absl::ZeroDuration(), absl::Seconds(10),
                      &options->connect_delay);
  parser->AddDuration("statement-time", "TIME", "Cost of a statement",
                      absl::ZeroDuration(), absl::Seconds(10),
                      &options->statement_time);
  parser->AddDuration("lag", "TIME", "Delay before entries are applied",
                      absl::ZeroDuration(), absl::Hours(1), &options->lag);
  parser->AddBool("primary-at-start", "Lead in term 1",
                  &options->primary_at_start);
}

}  // namespace

int main(int argc, char** argv) {
  TargetOptions options;
  std::string listen;
  std::string peers;
  SettingsParser parser("standin-target", "A stand-in database for tests.");
  AddSettings(&options, &listen, &peers, &parser);
  if (const auto code = heatherwick::ReadStandInSettings(parser, argc, argv)) {
    return *code;
  }
  options.peers = heatherwick::ParseIdList(peers);
  options.peers.erase(options.id);
  heatherwick::BlockStopSignals();
  heatherwick::TargetService service(options);
  std::thread replication([&service] { service.Replicate(); });
  const int code = heatherwick::RunServer(
      listen,
      {static_cast<heatherwick::proto::Target::Service*>(&service),
       static_cast<heatherwick::proto::TargetStandIn::Service*>(&service)},
      [&service] { service.Stop(); });
  service.Stop();
  replication.join();
  return code;
}
