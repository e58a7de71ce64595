#include "libs/base/program_settings.h"

#include <iostream>

namespace turmericwinch {

namespace {

bool HasHelpFlag(int argc, char** argv) {
  for (int n = 1; n < argc; ++n) {
    if (std::string_view(argv[n]) == "--help")
      return true;
  }
  return false;
}

}  // namespace

std::optional<SettingsTable> ReadProgramSettings(
    std::string_view title,
    const std::vector<SettingSpec>& specs,
    int argc,
    char** argv,
    int* exit_code) {
  *exit_code = 0;
  if (HasHelpFlag(argc, argv)) {
    std::cout << title << "\n" << SettingsHelp(specs);
    return std::nullopt;
  }
  Reason reason;
  std::optional<SettingsTable> table =
      SettingsTable::Read(specs, argc, argv, ProcessEnvironment(), &reason);
  if (!table) {
    std::cerr << ErrorText(reason);
    *exit_code = InfoOf(reason.code).exit_code;
    return std::nullopt;
  }
  if (table->Flag("print-settings")) {
    std::cout << table->Print();
    return std::nullopt;
  }
  return table;
}

}  // namespace turmericwinch
