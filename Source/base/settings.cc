// Reads flags with popt, reads environment variables, and checks both.

#include "Source/base/settings.h"

#include <popt.h>
#include <unistd.h>

#include <algorithm>
#include <memory>
#include <utility>

#include "Source/base/enum_table.h"
#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_replace.h"

namespace heatherwick {

namespace {

constexpr absl::string_view kVariablePrefix = "HEATHERWICK_";
constexpr int kHelpOption = 1;
constexpr int kFirstSettingOption = 2;

constexpr EnumName<SettingSource> kSourceNames[] = {
    {SettingSource::kDefault, "default"},
    {SettingSource::kEnvironment, "environment"},
    {SettingSource::kFlag, "flag"},
};

struct PoptContextDeleter {
  void operator()(poptContext context) const { poptFreeContext(context); }
};
using PoptContextPtr =
    std::unique_ptr<std::remove_pointer_t<poptContext>, PoptContextDeleter>;

// The result of reading the command line.
struct FlagValues {
  // Values of the flags that were given, by the index of their setting.
  std::map<size_t, std::string> values;
  std::vector<std::string> arguments;
  bool help_requested = false;
};

std::vector<poptOption> MakePoptTable(const std::vector<SettingSpec>& specs) {
  std::vector<poptOption> table;
  table.push_back({"help", 'h', POPT_ARG_NONE, nullptr, kHelpOption,
                   "Print this help", nullptr});
  for (size_t i = 0; i < specs.size(); ++i) {
    const bool takes_value = !specs[i].placeholder.empty();
    table.push_back(
        {specs[i].name.c_str(), '\0',
         static_cast<unsigned>(takes_value ? POPT_ARG_STRING : POPT_ARG_NONE),
         nullptr, static_cast<int>(i) + kFirstSettingOption,
         specs[i].help.c_str(), specs[i].placeholder.c_str()});
  }
  table.push_back(POPT_TABLEEND);
  return table;
}

FlagValues ReadFlags(const std::string& program,
                     const std::vector<SettingSpec>& specs,
                     const std::vector<std::string>& arguments,
                     std::vector<std::string>* errors) {
  std::vector<const char*> argv = {program.c_str()};
  for (const std::string& argument : arguments) {
    argv.push_back(argument.c_str());
  }
  argv.push_back(nullptr);
  const std::vector<poptOption> table = MakePoptTable(specs);
  PoptContextPtr context(poptGetContext(program.c_str(),
                                        static_cast<int>(argv.size()) - 1,
                                        argv.data(), table.data(), 0));
  FlagValues flags;
  int option = 0;
  while ((option = poptGetNextOpt(context.get())) != -1) {
    if (option == kHelpOption) {
      flags.help_requested = true;
    } else if (option < 0) {
      errors->push_back(absl::StrCat(
          poptBadOption(context.get(), POPT_BADOPTION_NOALIAS), ": ",
          poptStrerror(option), "; see ", program, " --help"));
    } else {
      const size_t index = static_cast<size_t>(option - kFirstSettingOption);
      char* value = poptGetOptArg(context.get());
      flags.values[index] = value == nullptr ? "true" : value;
      free(value);  // NOLINT: popt hands over memory from malloc.
    }
  }
  const char** rest = poptGetArgs(context.get());
  for (; rest != nullptr && *rest != nullptr; ++rest) {
    flags.arguments.emplace_back(*rest);
  }
  return flags;
}

void FindUnknownVariables(const std::vector<SettingSpec>& specs,
                          const SettingsParser::Environment& environment,
                          const std::vector<std::string>& other_variables,
                          std::vector<std::string>* errors) {
  for (const auto& entry : environment) {
    const std::string& variable = entry.first;
    if (!absl::StartsWith(variable, kVariablePrefix)) {
      continue;
    }
    const bool known =
        std::any_of(specs.begin(), specs.end(),
                    [&variable](const SettingSpec& spec) {
                      return SettingsParser::VariableName(spec.name) ==
                             variable;
                    }) ||
        std::count(other_variables.begin(), other_variables.end(), variable) >
            0;
    if (!known) {
      errors->push_back(absl::StrCat("environment variable ", variable,
                                     " is unknown; unset it or correct its "
                                     "name"));
    }
  }
}

}  // namespace

absl::string_view SettingSourceName(SettingSource source) {
  return NameOf(kSourceNames, source);
}

SettingsParser::SettingsParser(std::string program, std::string summary)
    : m_program(std::move(program)), m_summary(std::move(summary)) {}

void SettingsParser::Add(SettingSpec spec) {
  m_specs.push_back(std::move(spec));
}

void SettingsParser::AddString(std::string name,
                               std::string placeholder,
                               std::string help,
                               std::string* out) {
  Add({std::move(name), std::move(placeholder), std::move(help), *out,
       [out](const std::string& value) -> std::optional<std::string> {
         *out = value;
         return std::nullopt;
       }});
}

void SettingsParser::AddRequiredString(std::string name,
                                       std::string placeholder,
                                       std::string help,
                                       std::string* out) {
  Add({std::move(name), std::move(placeholder), std::move(help), *out,
       [out](const std::string& value) -> std::optional<std::string> {
         if (value.empty()) {
           return "a value is required";
         }
         *out = value;
         return std::nullopt;
       }});
}

void SettingsParser::AddBool(std::string name, std::string help, bool* out) {
  Add({std::move(name), "", std::move(help), *out ? "true" : "false",
       [out](const std::string& value) -> std::optional<std::string> {
         if (value != "true" && value != "false") {
           return "expected true or false";
         }
         *out = value == "true";
         return std::nullopt;
       }});
}

void SettingsParser::AddUint(std::string name,
                             std::string placeholder,
                             std::string help,
                             uint64_t min_value,
                             uint64_t max_value,
                             uint64_t* out) {
  Add({std::move(name), std::move(placeholder), std::move(help),
       absl::StrCat(*out),
       [=](const std::string& value) -> std::optional<std::string> {
         uint64_t parsed = 0;
         if (!absl::SimpleAtoi(value, &parsed) || parsed < min_value ||
             parsed > max_value) {
           return absl::StrCat("expected a whole number from ", min_value,
                               " to ", max_value);
         }
         *out = parsed;
         return std::nullopt;
       }});
}

void SettingsParser::AddDuration(std::string name,
                                 std::string placeholder,
                                 std::string help,
                                 absl::Duration min_value,
                                 absl::Duration max_value,
                                 absl::Duration* out) {
  Add({std::move(name), std::move(placeholder), std::move(help),
       absl::FormatDuration(*out),
       [=](const std::string& value) -> std::optional<std::string> {
         absl::Duration parsed;
         if (!absl::ParseDuration(value, &parsed) || parsed < min_value ||
             parsed > max_value) {
           return absl::StrCat("expected a duration from ",
                               absl::FormatDuration(min_value), " to ",
                               absl::FormatDuration(max_value),
                               ", such as 250ms or 2s");
         }
         *out = parsed;
         return std::nullopt;
       }});
}

Result<ParsedSettings> SettingsParser::Parse(
    const std::vector<std::string>& arguments,
    const Environment& environment,
    const std::vector<std::string>& other_variables) const {
  std::vector<std::string> errors;
  FlagValues flags = ReadFlags(m_program, m_specs, arguments, &errors);
  ParsedSettings parsed;
  parsed.arguments = std::move(flags.arguments);
  parsed.help_requested = flags.help_requested;
  if (parsed.help_requested) {
    return parsed;
  }
  FindUnknownVariables(m_specs, environment, other_variables, &errors);
  for (size_t i = 0; i < m_specs.size(); ++i) {
    const SettingSpec& spec = m_specs[i];
    EffectiveSetting setting{spec.name, spec.default_value,
                             SettingSource::kDefault};
    const auto variable = environment.find(VariableName(spec.name));
    const auto flag = flags.values.find(i);
    if (flag != flags.values.end()) {
      setting.value = flag->second;
      setting.source = SettingSource::kFlag;
    } else if (variable != environment.end()) {
      setting.value = variable->second;
      setting.source = SettingSource::kEnvironment;
    }
    const std::optional<std::string> error = spec.parse(setting.value);
    if (error) {
      errors.push_back(
          absl::StrCat(setting.source == SettingSource::kEnvironment
                           ? VariableName(spec.name)
                           : absl::StrCat("--", spec.name),
                       "=", setting.value, ": ", *error));
    }
    parsed.effective.push_back(std::move(setting));
  }
  if (!errors.empty()) {
    return Error{ErrorKind::kInvalidArgument, absl::StrJoin(errors, "\n"), ""};
  }
  return parsed;
}

std::string SettingsParser::Help() const {
  std::string help = absl::StrCat(m_summary, "\n\nOptions:\n  --help\n");
  for (const SettingSpec& spec : m_specs) {
    absl::StrAppend(&help, "  --", spec.name,
                    spec.placeholder.empty() ? "" : "=", spec.placeholder,
                    "\n      ", spec.help);
    if (!spec.default_value.empty()) {
      absl::StrAppend(&help, " (default: ", spec.default_value, ")");
    }
    absl::StrAppend(&help, "\n      Environment: ", VariableName(spec.name),
                    "\n");
  }
  return help;
}

std::vector<std::string> SettingsParser::Names() const {
  std::vector<std::string> names;
  for (const SettingSpec& spec : m_specs) {
    names.push_back(spec.name);
  }
  return names;
}

std::string SettingsParser::VariableName(absl::string_view setting) {
  return absl::StrCat(
      kVariablePrefix,
      absl::AsciiStrToUpper(absl::StrReplaceAll(setting, {{"-", "_"}})));
}

SettingsParser::Environment SettingsParser::ProcessEnvironment() {
  Environment environment;
  for (char** entry = environ; entry != nullptr && *entry != nullptr; ++entry) {
    const absl::string_view text = *entry;
    const size_t equals = text.find('=');
    if (equals != text.npos) {
      environment.emplace(text.substr(0, equals), text.substr(equals + 1));
    }
  }
  return environment;
}

}  // namespace heatherwick
