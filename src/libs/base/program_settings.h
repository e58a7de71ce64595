// Reads the settings of a program at its start.

#ifndef SRC_LIBS_BASE_PROGRAM_SETTINGS_H_
#define SRC_LIBS_BASE_PROGRAM_SETTINGS_H_

#include <optional>
#include <string_view>
#include <vector>

#include "libs/base/settings_table.h"

namespace turmericwinch {

// Reads the settings declared in `specs` from flags and environment. Returns
// nullopt if the program must exit with `exit_code`: after --help (prints
// `title` and the settings) and --print-settings, both on standard output, and
// after errors, which are printed on standard error.
std::optional<SettingsTable> ReadProgramSettings(
    std::string_view title,
    const std::vector<SettingSpec>& specs,
    int argc,
    char** argv,
    int* exit_code);

}  // namespace turmericwinch

#endif  // SRC_LIBS_BASE_PROGRAM_SETTINGS_H_
