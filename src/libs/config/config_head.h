// The object that points at the published generation.

#ifndef SRC_LIBS_CONFIG_CONFIG_HEAD_H_
#define SRC_LIBS_CONFIG_CONFIG_HEAD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libs/base/reason.h"

namespace turmericwinch {

// One published generation. `publication` is a random id that tells a writer
// whose answer was lost whether its write took effect. `time` is UTC text.
struct ConfigGeneration {
  std::uint64_t generation = 0;
  std::string manifest;
  std::string publication;
  std::string author;
  std::string time;
};

// The published generation first, then older ones.
struct ConfigHead {
  std::vector<ConfigGeneration> generations;

  std::uint64_t generation() const {
    return generations.empty() ? 0 : generations.front().generation;
  }
};

// The head as JSON text, and back.
std::string ToJson(const ConfigHead& head);
std::optional<ConfigHead> ParseConfigHead(std::string_view text,
                                          Reason* reason);

// `head` with one more generation in front; the oldest are forgotten. The
// generation's number is set here.
ConfigHead PrependGeneration(ConfigHead head, ConfigGeneration generation);

// The entry of `head` with this publication id, or null.
const ConfigGeneration* FindPublication(const ConfigHead& head,
                                        std::string_view publication);

}  // namespace turmericwinch

#endif  // SRC_LIBS_CONFIG_CONFIG_HEAD_H_
