// Checks a whole set of configuration objects together.

#ifndef SRC_LIBS_CONFIG_CONFIG_VALIDATOR_H_
#define SRC_LIBS_CONFIG_CONFIG_VALIDATOR_H_

#include <vector>

#include "libs/config/config_error.h"
#include "libs/config/config_set.h"

namespace turmericwinch {

// All errors of `set`: field types and ranges, unknown fields and references,
// cycles, shared keys, services without routes. Empty if it may be published.
std::vector<ConfigError> ValidateConfig(const ConfigSet& set);

}  // namespace turmericwinch

#endif  // SRC_LIBS_CONFIG_CONFIG_VALIDATOR_H_
