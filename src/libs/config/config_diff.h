// Differences between two sets of configuration objects.

#ifndef SRC_LIBS_CONFIG_CONFIG_DIFF_H_
#define SRC_LIBS_CONFIG_CONFIG_DIFF_H_

#include <string>
#include <vector>

#include "libs/config/config_set.h"

namespace turmericwinch {

enum class ConfigChange { kAdded, kRemoved, kChanged };

// One object that differs; `before` and `after` are canonical JSON.
struct ConfigDifference {
  ConfigChange change = ConfigChange::kAdded;
  std::string object;
  std::string before;
  std::string after;
};

// Objects removed or changed, then objects added, each ordered by kind and
// name.
std::vector<ConfigDifference> DiffConfig(const ConfigSet& before,
                                         const ConfigSet& after);

// One entry per difference, starting with '+' for an added, '-' for a removed
// or '~' for a changed object.
std::string ToText(const std::vector<ConfigDifference>& differences);

}  // namespace turmericwinch

#endif  // SRC_LIBS_CONFIG_CONFIG_DIFF_H_
