// Reads a directory of configuration files into one set.

#ifndef SRC_LIBS_OPERATIONS_CONFIG_DIRECTORY_H_
#define SRC_LIBS_OPERATIONS_CONFIG_DIRECTORY_H_

#include <string>
#include <vector>

#include "libs/config/config_error.h"
#include "libs/config/config_set.h"

namespace turmericwinch {

// A configuration set with the errors of its files and of the whole set.
struct CheckedConfig {
  ConfigSet set;
  std::vector<ConfigError> errors;
};

// Reads all *.json files of `directory` in the order of their names, and checks
// the set.
CheckedConfig ReadConfigDirectory(const std::string& directory);

}  // namespace turmericwinch

#endif  // SRC_LIBS_OPERATIONS_CONFIG_DIRECTORY_H_
