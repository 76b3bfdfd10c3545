// Finds the command in the arguments, parses its options and runs it.

#include "Source/client/client.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "Source/base/enum_table.h"
#include "Source/client/command.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"

namespace heatherwick {

namespace {

constexpr EnumName<OutputFormat> kOutputFormatNames[] = {
    {OutputFormat::kTable, "table"},
    {OutputFormat::kJson, "json"},
};

// Settings of heatherwickd. Both programs may run in the same environment, so
// the client must accept the variables of these settings.
constexpr absl::string_view kDaemonSettings[] = {
    "instance-id", "listen",         "region",  "data-centre", "platform",
    "log-level",   "decision-lines", "threads", "stop-timeout"};

// The global options. Their value may be given as the next argument.
constexpr absl::string_view kGlobalOptionFlags[] = {"--instance", "--output",
                                                    "--timeout"};

std::optional<std::string> ParseInstances(const std::string& value,
                                          std::vector<std::string>* instances) {
  *instances = absl::StrSplit(value, ',', absl::SkipEmpty());
  for (const std::string& address : *instances) {
    if (!absl::StrContains(address, ':')) {
      return "expected addresses IP:PORT, separated by commas";
    }
  }
  return std::nullopt;
}

void AddGlobalOptions(SettingsParser* parser, GlobalOptions* options) {
  parser->Add({"instance", "IP:PORT[,IP:PORT...]",
               "Instances to ask; the next one is tried when one does not "
               "answer and nothing has been changed",
               "", [options](const std::string& value) {
                 return ParseInstances(value, &options->instances);
               }});
  parser->Add(
      {"output", "table|json", "Form of the result", "table",
       [options](const std::string& value) -> std::optional<std::string> {
         const auto format = ValueOf(kOutputFormatNames, value);
         options->output = format.value_or(OutputFormat::kTable);
         return format ? std::nullopt
                       : std::optional<std::string>("expected table or json");
       }});
  parser->AddDuration("timeout", "TIME", "Longest wait for one answer",
                      absl::Milliseconds(1), absl::Minutes(10),
                      &options->timeout);
}

ExitCode RunSettings(const CommandContext& context) {
  Table table{{"setting", "value", "source", "variable"}, {}};
  for (const EffectiveSetting& setting : context.settings) {
    table.rows.push_back({setting.name, setting.value,
                          std::string(SettingSourceName(setting.source)),
                          SettingsParser::VariableName(setting.name)});
  }
  PrintTable(table, context.global.output, context.out);
  return ExitCode::kDone;
}

std::vector<Command> AllCommands() {
  std::vector<Command> commands = SheetCommands();
  for (auto* make_commands : {&ClusterCommands, &RequestCommands}) {
    for (Command& command : make_commands()) {
      commands.push_back(std::move(command));
    }
  }
  commands.push_back({"settings",
                      "",
                      "Prints the settings in force and their sources.",
                      "A flag takes precedence over the environment.",
                      {"heatherwick settings",
                       "HEATHERWICK_INSTANCE=127.0.0.1:7400 heatherwick "
                       "settings"},
                      0,
                      0,
                      false,
                      [](SettingsParser*, CommandOptions*) {},
                      RunSettings});
  return commands;
}

// Returns the environment variables of the daemon and of all commands. Each
// command accepts them, so that one environment can be shared by all.
std::vector<std::string> OtherVariables(const std::vector<Command>& commands) {
  std::vector<std::string> variables;
  for (const absl::string_view setting : kDaemonSettings) {
    variables.push_back(SettingsParser::VariableName(setting));
  }
  for (const Command& command : commands) {
    CommandOptions unused;
    SettingsParser parser("", "");
    command.add_options(&parser, &unused);
    for (const std::string& name : parser.Names()) {
      variables.push_back(SettingsParser::VariableName(name));
    }
  }
  return variables;
}

// Returns the positions in `arguments` of the first two words that are neither
// flags nor values of global flags, or of fewer if there are fewer.
std::vector<size_t> FindCommandWords(
    const std::vector<std::string>& arguments) {
  std::vector<size_t> words;
  for (size_t i = 0; i < arguments.size() && words.size() < 2; ++i) {
    const bool takes_next_argument =
        std::count(std::begin(kGlobalOptionFlags), std::end(kGlobalOptionFlags),
                   absl::string_view(arguments[i])) > 0;
    if (takes_next_argument) {
      ++i;
    } else if (!absl::StartsWith(arguments[i], "-")) {
      words.push_back(i);
    }
  }
  return words;
}

const Command* FindCommand(const std::vector<Command>& commands,
                           const std::string& name) {
  for (const Command& command : commands) {
    if (command.name == name) {
      return &command;
    }
  }
  return nullptr;
}

// Finds the command with the longest name that matches and removes its words
// from the arguments. Returns null if no command matches.
const Command* ExtractCommand(const std::vector<Command>& commands,
                              std::vector<std::string>* arguments) {
  const std::vector<size_t> words = FindCommandWords(*arguments);
  for (size_t count = words.size(); count > 0; --count) {
    std::vector<std::string> name;
    for (size_t i = 0; i < count; ++i) {
      name.push_back((*arguments)[words[i]]);
    }
    const Command* command = FindCommand(commands, absl::StrJoin(name, " "));
    if (command != nullptr) {
      for (size_t i = count; i > 0; --i) {
        arguments->erase(arguments->begin() +
                         static_cast<ptrdiff_t>(words[i - 1]));
      }
      return command;
    }
  }
  return nullptr;
}

std::string GeneralHelp(const std::vector<Command>& commands) {
  std::string help =
      "Usage: heatherwick COMMAND [ARGUMENT...] [OPTION...]\n\n"
      "Checks and submits sheets, and watches and operates instances of "
      "heatherwickd.\n\nCommands:\n";
  for (const Command& command : commands) {
    absl::StrAppend(&help, "  ", command.name,
                    command.arguments.empty() ? "" : " ", command.arguments,
                    "\n      ", command.summary, "\n");
  }
  absl::StrAppend(
      &help, "\n`heatherwick COMMAND --help` explains a command.\n\n",
      ExitCodeHelp(), "\nExample:\n  heatherwick sheet check monday.csv\n");
  return help;
}

std::string UsageAndSummary(const Command& command) {
  return absl::StrCat("Usage: heatherwick ", command.name,
                      command.arguments.empty() ? "" : " ", command.arguments,
                      " [OPTION...]\n\n", command.summary, "\n",
                      command.description);
}

std::string ExamplesText(const Command& command) {
  std::string text = "\nExamples:\n";
  for (const std::string& example : command.examples) {
    absl::StrAppend(&text, "  ", example, "\n");
  }
  return text;
}

bool CheckArguments(const Command& command, const CommandContext& context) {
  const size_t count = context.arguments.size();
  if (count < command.min_arguments || count > command.max_arguments) {
    context.Fail(ExitCode::kUsage,
                 absl::StrCat("expected `heatherwick ", command.name,
                              command.arguments.empty() ? "" : " ",
                              command.arguments, "`, but the command has ",
                              count, count == 1 ? " argument" : " arguments",
                              "; see heatherwick ", command.name, " --help"));
    return false;
  }
  if (command.needs_instance && context.global.instances.empty()) {
    context.Fail(ExitCode::kUsage,
                 "no instance is named; use --instance=IP:PORT or set "
                 "HEATHERWICK_INSTANCE");
    return false;
  }
  return true;
}

ExitCode RunCommand(const Command& command,
                    const std::vector<std::string>& arguments,
                    const SettingsParser::Environment& environment,
                    const std::vector<std::string>& other_variables,
                    CommandContext* context) {
  SettingsParser parser(absl::StrCat("heatherwick ", command.name),
                        UsageAndSummary(command));
  AddGlobalOptions(&parser, &context->global);
  command.add_options(&parser, &context->options);
  const Result<ParsedSettings> parsed =
      parser.Parse(arguments, environment, other_variables);
  if (!Ok(parsed)) {
    return context->Fail(ExitCode::kUsage, ErrorOf(parsed).Describe());
  }
  if (ValueOf(parsed).help_requested) {
    *context->out << parser.Help() << ExamplesText(command);
    return ExitCode::kDone;
  }
  context->arguments = ValueOf(parsed).arguments;
  context->settings = ValueOf(parsed).effective;
  return CheckArguments(command, *context) ? command.run(*context)
                                           : ExitCode::kUsage;
}

}  // namespace

ExitCode RunClient(const std::vector<std::string>& arguments,
                   const SettingsParser::Environment& environment,
                   std::ostream* out,
                   std::ostream* err) {
  const std::vector<Command> commands = AllCommands();
  CommandContext context;
  context.out = out;
  context.err = err;
  std::vector<std::string> remaining_arguments = arguments;
  const Command* command = ExtractCommand(commands, &remaining_arguments);
  if (command != nullptr) {
    return RunCommand(*command, remaining_arguments, environment,
                      OtherVariables(commands), &context);
  }
  if (std::count(remaining_arguments.begin(), remaining_arguments.end(),
                 "--help") > 0 ||
      std::count(remaining_arguments.begin(), remaining_arguments.end(), "-h") >
          0) {
    *out << GeneralHelp(commands);
    return ExitCode::kDone;
  }
  if (remaining_arguments.empty()) {
    *err << GeneralHelp(commands);
    return ExitCode::kUsage;
  }
  return context.Fail(
      ExitCode::kUsage,
      absl::StrCat("command \"", absl::StrJoin(remaining_arguments, " "),
                   "\" is unknown; heatherwick --help lists the commands"));
}

}  // namespace heatherwick
