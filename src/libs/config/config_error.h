// An error found while a configuration set is read or validated.

#ifndef SRC_LIBS_CONFIG_CONFIG_ERROR_H_
#define SRC_LIBS_CONFIG_CONFIG_ERROR_H_

#include <string>
#include <string_view>
#include <vector>

namespace turmericwinch {

// `object` is "Kind/name", or the position in the file if the object has no
// valid name. `suggestion` says how to correct the error, if known.
struct ConfigError {
  std::string file;
  std::string object;
  std::string field;
  std::string message;
  std::string suggestion;
};

// One line: "file: Kind/name.field: message (suggestion)".
std::string ToText(const ConfigError& error);

// The candidate with the smallest edit distance to `word`, as "did you mean
// 'x'?"; empty if none is similar enough.
std::string SuggestCorrection(std::string_view word,
                              const std::vector<std::string>& candidates);

}  // namespace turmericwinch

#endif  // SRC_LIBS_CONFIG_CONFIG_ERROR_H_
