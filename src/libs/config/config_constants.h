// Constants of the configuration library.

#ifndef SRC_LIBS_CONFIG_CONFIG_CONSTANTS_H_
#define SRC_LIBS_CONFIG_CONFIG_CONSTANTS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace turmericwinch {

// Name of the object that points at the published generation.
inline constexpr char kConfigHeadName[] = "config-head";
// Prefix of content-addressed chunks; the digest follows.
inline constexpr char kConfigChunkPrefix[] = "config-chunk-";
// Prefix of content-addressed manifests; the digest follows.
inline constexpr char kConfigManifestPrefix[] = "config-manifest-";
// Bytes that a chunk aims at. Small, since one changed object moves its chunk
// to every host.
inline constexpr std::size_t kConfigChunkBytes = 32 * 1024;
// Published generations that the head remembers.
inline constexpr std::size_t kConfigHistoryLength = 50;
// Time after which a part of a generation is asked for elsewhere.
inline constexpr std::chrono::milliseconds kConfigFetchTimeout{1'000};
// Time for which a starting host waits for a peer's word on the generation.
inline constexpr std::chrono::milliseconds kConfigPeerWait{1'500};
// Peers that a host tells of a new generation.
inline constexpr std::size_t kConfigNoticePeers = 4;
// Characters of an object's name.
inline constexpr std::size_t kConfigMaxNameLength = 63;
// Most tokens of one budget; sums of all budgets stay within 64 bits.
inline constexpr std::int64_t kConfigMaxTokens = 1'000'000'000'000'000;

}  // namespace turmericwinch

#endif  // SRC_LIBS_CONFIG_CONFIG_CONSTANTS_H_
