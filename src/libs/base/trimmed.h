// Text without the characters around it.

#ifndef SRC_LIBS_BASE_TRIMMED_H_
#define SRC_LIBS_BASE_TRIMMED_H_

#include <string_view>

namespace turmericwinch {

// The part of `text` between the `characters` at its start and at its end.
inline std::string_view Trimmed(std::string_view text,
                                std::string_view characters = " ") {
  const std::size_t first = text.find_first_not_of(characters);
  if (first == std::string_view::npos)
    return {};
  const std::size_t last = text.find_last_not_of(characters);
  return text.substr(first, last - first + 1);
}

}  // namespace turmericwinch

#endif  // SRC_LIBS_BASE_TRIMMED_H_
