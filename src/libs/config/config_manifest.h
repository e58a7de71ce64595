// Splits a set into content-addressed chunks, and joins it again.

#ifndef SRC_LIBS_CONFIG_CONFIG_MANIFEST_H_
#define SRC_LIBS_CONFIG_CONFIG_MANIFEST_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libs/base/reason.h"
#include "libs/config/config_set.h"

namespace turmericwinch {

// One part of a set; `digest` is the SHA-256 of `text`, in hexadecimal.
struct ConfigChunk {
  std::string digest;
  std::string text;
};

// A whole set as it is kept in the platform. A change of one object changes
// one chunk. `digest` is the SHA-256 of `text`, which lists the chunks.
struct ConfigManifest {
  std::string digest;
  std::string text;
  std::vector<ConfigChunk> chunks;
};

// Splits `set`.
ConfigManifest BuildManifest(const ConfigSet& set);

// Digests of the chunks that the manifest text lists, in order.
std::optional<std::vector<std::string>> ParseChunkDigests(
    std::string_view manifest,
    Reason* reason);

// Joins chunks, by digest, to the set whose manifest text is `manifest`. Every
// chunk is checked against its digest.
std::optional<ConfigSet> JoinChunks(
    std::string_view manifest,
    const std::map<std::string, std::string>& chunks,
    Reason* reason);

}  // namespace turmericwinch

#endif  // SRC_LIBS_CONFIG_CONFIG_MANIFEST_H_
