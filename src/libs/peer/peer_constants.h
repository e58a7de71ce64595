// Constants of the peer library.

#ifndef SRC_LIBS_PEER_PEER_CONSTANTS_H_
#define SRC_LIBS_PEER_PEER_CONSTANTS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace turmericwinch {

// Version of the protocol that this program speaks.
inline constexpr std::int32_t kPeerVersion = 1;
// Bytes of the length in front of each frame.
inline constexpr std::size_t kPeerLengthBytes = 4;
// Longest frame: a chunk of the platform's largest value and its envelope.
inline constexpr std::size_t kPeerMaxFrameBytes = 1'024 * 1'024 + 4'096;
// Longest frame from a peer that has not proved the fleet's key yet.
inline constexpr std::size_t kPeerMaxHandshakeFrameBytes = 256;
// Longest list in a frame.
inline constexpr std::size_t kPeerMaxListLength = 4'096;
// Random bytes of a challenge.
inline constexpr std::size_t kPeerChallengeBytes = 16;
// Time for connecting and for the handshake.
inline constexpr std::chrono::milliseconds kPeerConnectTimeout{1'000};
// Time after which unacknowledged data ends a connection.
inline constexpr std::chrono::milliseconds kPeerUnacknowledgedTimeout{3'000};
// Time after which an unused connection is closed.
inline constexpr std::chrono::milliseconds kPeerIdleTimeout{150'000};
// Bytes waiting for one peer; further frames are dropped.
inline constexpr std::size_t kPeerMaxQueuedBytes = 4 * 1'024 * 1'024;
// Connections accepted at once.
inline constexpr std::size_t kPeerMaxConnections = 1'024;

}  // namespace turmericwinch

#endif  // SRC_LIBS_PEER_PEER_CONSTANTS_H_
