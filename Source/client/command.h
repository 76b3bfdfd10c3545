// A command of the program heatherwick, its options, and the context in which
// it runs.

#ifndef SOURCE_CLIENT_COMMAND_H_
#define SOURCE_CLIENT_COMMAND_H_

#include <functional>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "Source/base/settings.h"
#include "Source/client/exit_code.h"
#include "Source/client/instance_client.h"
#include "Source/client/output.h"
#include "absl/time/time.h"

namespace heatherwick {

struct GlobalOptions {
  std::vector<std::string> instances;
  OutputFormat output = OutputFormat::kTable;
  absl::Duration timeout = absl::Seconds(10);
};

// The options of all commands except the global ones. An option that a command
// does not have keeps its default.
struct CommandOptions {
  // If empty, the base is the version in force at the instance.
  std::string base;
  std::string submitted_by = "operator";
  std::string submission;
  uint64_t history_limit = 20;
  absl::Duration limit = absl::Seconds(30);
  std::string caller;
  std::string group;
  std::string read_kind;
  std::string request_kind;
  std::string key;
  std::string transaction;
  std::string token_file;
  absl::Duration deadline = absl::Seconds(2);
};

struct CommandContext {
  GlobalOptions global;
  CommandOptions options;
  std::vector<std::string> arguments;  // Without the command's name.
  std::vector<EffectiveSetting> settings;
  std::ostream* out = nullptr;
  std::ostream* err = nullptr;

  InstanceClient MakeClient() const {
    return InstanceClient(global.instances, global.timeout);
  }
  // Prints the message to `err` and returns the code.
  ExitCode Fail(ExitCode code, const std::string& message) const;
  // Reports a call that no instance answered and returns its exit code.
  ExitCode FailUnansweredCall(const CallResult& result,
                              bool modifies_state) const;
};

struct Command {
  std::string name;       // One or two words, such as "sheet check".
  std::string arguments;  // As shown in the synopsis.
  std::string summary;    // One sentence.
  std::string description;
  std::vector<std::string> examples;
  size_t min_arguments = 0;
  size_t max_arguments = 0;
  bool needs_instance = true;
  std::function<void(SettingsParser*, CommandOptions*)> add_options;
  std::function<ExitCode(const CommandContext&)> run;
};

std::vector<Command> SheetCommands();
std::vector<Command> ClusterCommands();
std::vector<Command> RequestCommands();

}  // namespace heatherwick

#endif  // SOURCE_CLIENT_COMMAND_H_
