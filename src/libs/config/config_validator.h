// Validates a whole set of configuration objects.

#ifndef SRC_LIBS_CONFIG_CONFIG_VALIDATOR_H_
#define SRC_LIBS_CONFIG_CONFIG_VALIDATOR_H_

#include <vector>

#include "libs/config/config_error.h"
#include "libs/config/config_set.h"

namespace turmericwinch {

// Returns all errors of `set`: field types and ranges, unknown fields and
// references, domains that overflow into themselves, regions that no domain
// has, keys shared by teams,
// unreachable routes, services without routes, limits below the cost of a
// call. Empty if the set may be published.
std::vector<ConfigError> ValidateConfig(const ConfigSet& set);

}  // namespace turmericwinch

#endif  // SRC_LIBS_CONFIG_CONFIG_VALIDATOR_H_
