#include "libs/operations/config_directory.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "libs/config/config_reader.h"
#include "libs/config/config_validator.h"

namespace turmericwinch {

CheckedConfig ReadConfigDirectory(const std::string& directory) {
  CheckedConfig checked;
  std::error_code ec;
  std::vector<std::filesystem::path> paths;
  for (const auto& it : std::filesystem::directory_iterator(directory, ec)) {
    if (it.path().extension() == ".json")
      paths.push_back(it.path());
  }
  if (ec || paths.empty()) {
    checked.errors.push_back(
        {directory, "", "",
         ec ? "cannot be read: " + ec.message() : "has no .json files", ""});
    return checked;
  }
  std::sort(paths.begin(), paths.end());
  for (const auto& it : paths) {
    std::ifstream file(it);
    std::string text((std::istreambuf_iterator<char>(file)),
                     std::istreambuf_iterator<char>());
    if (!file) {
      checked.errors.push_back(
          {it.filename().string(), "", "", "cannot be read", ""});
      continue;
    }
    ReadConfigText(it.filename().string(), text, checked.set, checked.errors);
  }
  std::vector<ConfigError> errors = ValidateConfig(checked.set);
  checked.errors.insert(checked.errors.end(), errors.begin(), errors.end());
  return checked;
}

}  // namespace turmericwinch
