// A directory of configuration files as one set.

#ifndef SRC_LIBS_OPERATIONS_CONFIG_DIRECTORY_H_
#define SRC_LIBS_OPERATIONS_CONFIG_DIRECTORY_H_

#include <string>
#include <vector>

#include "libs/config/config_error.h"
#include "libs/config/config_set.h"

namespace turmericwinch {

// A set with the faults of its files and of the whole.
struct CheckedConfig {
  ConfigSet set;
  std::vector<ConfigError> faults;
};

// Reads and checks all *.json files of `directory`, by name.
CheckedConfig ReadConfigDirectory(const std::string& directory);

}  // namespace turmericwinch

#endif  // SRC_LIBS_OPERATIONS_CONFIG_DIRECTORY_H_
