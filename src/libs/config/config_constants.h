// Constants of the configuration library.

#ifndef SRC_LIBS_CONFIG_CONFIG_CONSTANTS_H_
#define SRC_LIBS_CONFIG_CONFIG_CONSTANTS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace turmericwinch {

// Name of the store object that identifies the published generation.
inline constexpr char kConfigHeadName[] = "config-head";
// Name prefix of a content-addressed chunk; followed by its digest.
inline constexpr char kConfigChunkPrefix[] = "config-chunk-";
// Name prefix of a content-addressed manifest; followed by its digest.
inline constexpr char kConfigManifestPrefix[] = "config-manifest-";
// Target size of a chunk. Small, because a change of one object sends its
// whole chunk to every host.
inline constexpr std::size_t kConfigChunkBytes = 32 * 1024;
// Number of published generations that the head keeps.
inline constexpr std::size_t kConfigHistoryLength = 50;
// Time without an answer after which a manifest or chunk is requested again,
// from another source.
inline constexpr std::chrono::milliseconds kConfigFetchTimeout{1'000};
// Time for which a starting host waits for a peer to report the generation in
// force.
inline constexpr std::chrono::milliseconds kConfigPeerWait{1'500};
// Number of peers that a host notifies of a new generation.
inline constexpr std::size_t kConfigNoticePeers = 4;
// Maximum length of an object's name, in characters.
inline constexpr std::size_t kConfigMaxNameLength = 63;
// Maximum tokens of one budget, so that the sum of all budgets fits into 64
// bits.
inline constexpr std::int64_t kConfigMaxTokens = 1'000'000'000'000'000;

}  // namespace turmericwinch

#endif  // SRC_LIBS_CONFIG_CONFIG_CONSTANTS_H_
