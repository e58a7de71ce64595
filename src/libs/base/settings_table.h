// Settings of a program, read from flags and environment variables.

#ifndef SRC_LIBS_BASE_SETTINGS_TABLE_H_
#define SRC_LIBS_BASE_SETTINGS_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libs/base/reason.h"

namespace turmericwinch {

enum class SettingType {
  kText,
  kInteger,
  // A number that may have a fraction.
  kDecimal,
  kFlag,
  kEndpoint,
  kEndpointList
};

// Declaration of one setting. The flag is `--name`, the environment variable
// TURMERICWINCH_NAME with '_' for '-'. The flag overrides the variable; a flag
// or variable without a value counts as not given. `least` and `most` bound
// kInteger and kDecimal.
struct SettingSpec {
  std::string name;
  SettingType type = SettingType::kText;
  std::string label;
  std::string unit;
  std::string default_value;
  std::int64_t least = 0;
  std::int64_t most = 0;
  bool required = false;
  bool secret = false;
  // Allowed values of a kText setting; empty allows any value.
  std::vector<std::string> choices = {};
};

// Source of a value.
enum class SettingSource { kDefault, kEnvironment, kFlag };

// Holds the validated values of all settings of a program.
class SettingsTable {
 public:
  // Reads the settings declared in `specs` from `argv` and `environment`.
  // Returns nullopt if any setting is invalid; `reason` then lists all errors,
  // one per line. Words that are not flags are kept in arguments().
  static std::optional<SettingsTable> Read(
      const std::vector<SettingSpec>& specs,
      int argc,
      const char* const* argv,
      const std::map<std::string, std::string>& environment,
      Reason* reason);

  std::string Text(std::string_view name) const;
  std::int64_t Integer(std::string_view name) const;
  double Decimal(std::string_view name) const;
  bool Flag(std::string_view name) const;
  // The comma-separated parts of a kEndpointList.
  std::vector<std::string> List(std::string_view name) const;
  const std::vector<std::string>& arguments() const { return arguments_; }

  // One line per setting: name, value, unit and source. Secrets are masked.
  std::string Print() const;

 private:
  struct Value {
    SettingSpec spec;
    std::string text;
    SettingSource source = SettingSource::kDefault;
  };

  std::map<std::string, Value, std::less<>> values_;
  std::vector<std::string> arguments_;
};

// Help text for `specs`: flag, variable, unit, range, default and label.
std::string SettingsHelp(const std::vector<SettingSpec>& specs);

// The environment variables of the process.
std::map<std::string, std::string> ProcessEnvironment();

}  // namespace turmericwinch

#endif  // SRC_LIBS_BASE_SETTINGS_TABLE_H_
