// Reads settings from flags and environment variables. Every mistake of a
// start is collected, so that an operator sees all of them at once.

#ifndef SOURCE_BASE_SETTINGS_H_
#define SOURCE_BASE_SETTINGS_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Source/base/error.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace heatherwick {

enum class SettingSource { kDefault, kEnvironment, kFlag };

absl::string_view SettingSourceName(SettingSource source);

// One setting: --name=VALUE, or HEATHERWICK_NAME in the environment. A flag
// wins over the environment.
struct SettingSpec {
  std::string name;         // Lower case with '-'.
  std::string placeholder;  // Shown in --help; empty for an on/off flag.
  std::string help;
  std::string default_value;
  // Stores the value; returns what is wrong with it, or nothing.
  std::function<std::optional<std::string>(const std::string&)> parse;
};

struct SettingInForce {
  std::string name;
  std::string value;
  SettingSource source;
};

struct ParsedSettings {
  std::vector<SettingInForce> in_force;
  std::vector<std::string> arguments;  // Everything that is not a flag.
  bool help_requested = false;
};

class SettingsParser {
 public:
  using Environment = std::map<std::string, std::string>;

  // `program` and `summary` stand in the help text.
  SettingsParser(std::string program, std::string summary);

  void Add(SettingSpec spec);
  // These store into `*out`, which must outlive Parse.
  void AddString(std::string name,
                 std::string placeholder,
                 std::string help,
                 std::string* out);
  // As AddString, and an empty value is a mistake.
  void AddRequiredString(std::string name,
                         std::string placeholder,
                         std::string help,
                         std::string* out);
  void AddBool(std::string name, std::string help, bool* out);
  void AddUint(std::string name,
               std::string placeholder,
               std::string help,
               uint64_t lowest,
               uint64_t highest,
               uint64_t* out);
  // Values such as 250ms, 2s, 1m30s.
  void AddDuration(std::string name,
                   std::string placeholder,
                   std::string help,
                   absl::Duration lowest,
                   absl::Duration highest,
                   absl::Duration* out);

  // `arguments` excludes the program's name. An unknown HEATHERWICK_ variable
  // is a mistake unless it is in `other_variables`. The error lists all
  // mistakes, one a line.
  Result<ParsedSettings> Parse(
      const std::vector<std::string>& arguments,
      const Environment& environment,
      const std::vector<std::string>& other_variables = {}) const;

  std::string Help() const;

  // Names of the settings, in the order in which they were added.
  std::vector<std::string> Names() const;

  static std::string VariableName(absl::string_view setting);
  // The process's environment.
  static Environment ProcessEnvironment();

 private:
  std::string m_program;
  std::string m_summary;
  std::vector<SettingSpec> m_specs;
};

}  // namespace heatherwick

#endif  // SOURCE_BASE_SETTINGS_H_
