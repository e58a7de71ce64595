// A fault found while a set of objects is checked.

#ifndef SRC_LIBS_CONFIG_CONFIG_ERROR_H_
#define SRC_LIBS_CONFIG_CONFIG_ERROR_H_

#include <string>
#include <string_view>
#include <vector>

namespace turmericwinch {

// Names the place and says what is wrong and, if known, what was meant.
struct ConfigError {
  std::string file;
  std::string object;
  std::string field;
  std::string message;
  std::string suggestion;
};

// One line: "file: Kind/name.field: text (suggestion)".
std::string ToText(const ConfigError& error);

// The candidate closest to `word`, as "did you mean 'x'?"; empty if none is
// close.
std::string SuggestCorrection(std::string_view word,
                              const std::vector<std::string>& candidates);

}  // namespace turmericwinch

#endif  // SRC_LIBS_CONFIG_CONFIG_ERROR_H_
