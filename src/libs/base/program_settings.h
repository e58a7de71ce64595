// What every program does with its settings before it starts.

#ifndef SRC_LIBS_BASE_PROGRAM_SETTINGS_H_
#define SRC_LIBS_BASE_PROGRAM_SETTINGS_H_

#include <optional>
#include <string_view>
#include <vector>

#include "libs/base/settings_table.h"

namespace turmericwinch {

// Reads flags and environment against `specs`. Nothing if the program is to end
// with `exit_code`: after --help (`title` and the settings) and
// --print-settings, both to standard output, and after faults, told on standard
// error.
std::optional<SettingsTable> ReadProgramSettings(
    std::string_view title,
    const std::vector<SettingSpec>& specs,
    int argc,
    char** argv,
    int* exit_code);

}  // namespace turmericwinch

#endif  // SRC_LIBS_BASE_PROGRAM_SETTINGS_H_
