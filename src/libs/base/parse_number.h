// Reads numbers from text.

#ifndef SRC_LIBS_BASE_PARSE_NUMBER_H_
#define SRC_LIBS_BASE_PARSE_NUMBER_H_

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>

namespace turmericwinch {

// Returns the number that `text` consists of, or nullopt if there are other
// characters or it is out of range. `format` is as for std::from_chars.
template <typename T, typename... Format>
std::optional<T> ParseNumber(std::string_view text, Format... format) {
  T number = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(),
                                         number, format...);
  if (ec != std::errc() || end != text.data() + text.size())
    return std::nullopt;
  return number;
}

}  // namespace turmericwinch

#endif  // SRC_LIBS_BASE_PARSE_NUMBER_H_
