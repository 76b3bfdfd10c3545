// Reads settings from flags and environment variables. All errors are collected
// before they are reported, so that an operator sees them at once.

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

// One setting, given as --name=VALUE or as HEATHERWICK_NAME in the environment.
// The flag takes precedence.
struct SettingSpec {
  std::string name;         // In lower case, with '-' between words.
  std::string placeholder;  // Shown in --help; empty for an on/off flag.
  std::string help;
  std::string default_value;
  // Stores the value. Returns an error message if the value is invalid.
  std::function<std::optional<std::string>(const std::string&)> parse;
};

// The value that a setting has and where it comes from.
struct EffectiveSetting {
  std::string name;
  std::string value;
  SettingSource source;
};

struct ParsedSettings {
  std::vector<EffectiveSetting> effective;
  std::vector<std::string> arguments;  // The arguments that are not flags.
  bool help_requested = false;
};

class SettingsParser {
 public:
  using Environment = std::map<std::string, std::string>;

  // `program` is the name in messages; `summary` is the start of the help text.
  SettingsParser(std::string program, std::string summary);

  void Add(SettingSpec spec);
  // The methods below add a setting that Parse stores in `*out`. The value of
  // `*out` when the setting is added is its default. `out` must outlive Parse.
  void AddString(std::string name,
                 std::string placeholder,
                 std::string help,
                 std::string* out);
  // Like AddString, but an empty value is an error.
  void AddRequiredString(std::string name,
                         std::string placeholder,
                         std::string help,
                         std::string* out);
  void AddBool(std::string name, std::string help, bool* out);
  void AddUint(std::string name,
               std::string placeholder,
               std::string help,
               uint64_t min_value,
               uint64_t max_value,
               uint64_t* out);
  // Accepts values such as 250ms, 2s and 1m30s.
  void AddDuration(std::string name,
                   std::string placeholder,
                   std::string help,
                   absl::Duration min_value,
                   absl::Duration max_value,
                   absl::Duration* out);

  // `arguments` excludes the program's name. An environment variable that
  // begins with HEATHERWICK_ must belong to a setting or be in
  // `other_variables`. The message of the returned error lists all errors, one
  // per line.
  Result<ParsedSettings> Parse(
      const std::vector<std::string>& arguments,
      const Environment& environment,
      const std::vector<std::string>& other_variables = {}) const;

  std::string Help() const;

  // Names of the settings, in the order in which they were added.
  std::vector<std::string> Names() const;

  // Name of the environment variable of a setting.
  static std::string VariableName(absl::string_view setting);
  // The environment of this process.
  static Environment ProcessEnvironment();

 private:
  std::string m_program;
  std::string m_summary;
  std::vector<SettingSpec> m_specs;
};

}  // namespace heatherwick

#endif  // SOURCE_BASE_SETTINGS_H_
