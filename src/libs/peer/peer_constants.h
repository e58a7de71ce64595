// Constants of the peer library.

#ifndef SRC_LIBS_PEER_PEER_CONSTANTS_H_
#define SRC_LIBS_PEER_PEER_CONSTANTS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace turmericwinch {

// Version of the peer protocol that this program uses.
inline constexpr std::int32_t kPeerVersion = 1;
// Size of the length that precedes each frame.
inline constexpr std::size_t kPeerLengthBytes = 4;
// Maximum payload of a frame: the largest value that the platform stores, and
// the fields around it.
inline constexpr std::size_t kPeerMaxFrameBytes = 1'024 * 1'024 + 4'096;
// Maximum payload of a frame from a peer that is not authenticated yet.
inline constexpr std::size_t kPeerMaxHandshakeFrameBytes = 256;
// Maximum length of a list in a frame.
inline constexpr std::size_t kPeerMaxListLength = 4'096;
// Random bytes of a challenge.
inline constexpr std::size_t kPeerChallengeBytes = 16;
// Time limit for connecting, and again for the handshake.
inline constexpr std::chrono::milliseconds kPeerConnectTimeout{1'000};
// Time after which unacknowledged data closes a connection.
inline constexpr std::chrono::milliseconds kPeerUnacknowledgedTimeout{3'000};
// Time after which an unused connection is closed.
inline constexpr std::chrono::milliseconds kPeerIdleTimeout{150'000};
// Maximum bytes queued for one peer; further frames are dropped.
inline constexpr std::size_t kPeerMaxQueuedBytes = 4 * 1'024 * 1'024;
// Maximum number of open connections; further ones are not accepted.
inline constexpr std::size_t kPeerMaxConnections = 1'024;

}  // namespace turmericwinch

#endif  // SRC_LIBS_PEER_PEER_CONSTANTS_H_
