// Settings of a program: declared once, read from flags and environment.

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

enum class SettingType { kText, kInteger, kFlag, kEndpoint, kEndpointList };

// Declaration of one setting. The flag is `--name`, the environment variable
// TURMERICWINCH_NAME with '-' as '_'. The flag goes before the variable.
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
  // The values that a kText may have; any if empty.
  std::vector<std::string> choices = {};
};

// Where a value came from.
enum class SettingSource { kDefault, kEnvironment, kFlag };

// Values of a table of settings after reading and checking.
class SettingsTable {
 public:
  // Reads `argv` and `environment` against `specs`. Answers nothing if any
  // setting is wrong; `reason` then lists all faults, one a line. Words that
  // are no flags are kept in arguments().
  static std::optional<SettingsTable> Read(
      const std::vector<SettingSpec>& specs,
      int argc,
      const char* const* argv,
      const std::map<std::string, std::string>& environment,
      Reason* reason);

  std::string Text(std::string_view name) const;
  std::int64_t Integer(std::string_view name) const;
  bool Flag(std::string_view name) const;
  // The comma-separated parts of a kEndpointList.
  std::vector<std::string> List(std::string_view name) const;
  const std::vector<std::string>& arguments() const { return arguments_; }

  // One line a setting: name, value, unit and source. Secrets are masked.
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

// The process's environment as a map.
std::map<std::string, std::string> ProcessEnvironment();

}  // namespace turmericwinch

#endif  // SRC_LIBS_BASE_SETTINGS_TABLE_H_
