// Reads configuration objects from JSON text.

#ifndef SRC_LIBS_CONFIG_CONFIG_READER_H_
#define SRC_LIBS_CONFIG_CONFIG_READER_H_

#include <string>
#include <string_view>
#include <vector>

#include "libs/config/config_error.h"
#include "libs/config/config_set.h"

namespace turmericwinch {

// Adds the objects of one file, a JSON object or an array of them, to `set`.
// Errors, such as a duplicate name, go to `errors`; reading goes on after them.
void ReadConfigText(const std::string& file,
                    std::string_view text,
                    ConfigSet& set,
                    std::vector<ConfigError>& errors);

}  // namespace turmericwinch

#endif  // SRC_LIBS_CONFIG_CONFIG_READER_H_
