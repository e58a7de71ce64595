// The store object that identifies the published generation.

#ifndef SRC_LIBS_CONFIG_CONFIG_HEAD_H_
#define SRC_LIBS_CONFIG_CONFIG_HEAD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libs/base/reason.h"

namespace turmericwinch {

// One published generation. `publication` is a random id: a writer that got no
// response to its write looks for it in the head to learn whether the write
// took effect. `time` is UTC, as text.
struct ConfigGeneration {
  std::uint64_t generation = 0;
  std::string manifest;
  std::string publication;
  std::string author;
  std::string time;
};

// Generations, newest first; the first one is published.
struct ConfigHead {
  std::vector<ConfigGeneration> generations;

  std::uint64_t generation() const {
    return generations.empty() ? 0 : generations.front().generation;
  }
};

// Conversion of the head to and from JSON text.
std::string ToJson(const ConfigHead& head);
std::optional<ConfigHead> ParseConfigHead(std::string_view text,
                                          Reason* reason);

// Returns `head` with `generation` added in front and numbered one above the
// newest. Entries beyond kConfigHistoryLength are removed.
ConfigHead PrependGeneration(ConfigHead head, ConfigGeneration generation);

// The entry of `head` with this publication id, or null.
const ConfigGeneration* FindPublication(const ConfigHead& head,
                                        std::string_view publication);

}  // namespace turmericwinch

#endif  // SRC_LIBS_CONFIG_CONFIG_HEAD_H_
