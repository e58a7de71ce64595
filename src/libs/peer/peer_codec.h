// Encodes frames as a length followed by a Thrift structure in the compact
// protocol.

#ifndef SRC_LIBS_PEER_PEER_CODEC_H_
#define SRC_LIBS_PEER_PEER_CODEC_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "libs/base/reason.h"
#include "libs/peer/peer_frame.h"

namespace turmericwinch {

// The encoded frame, preceded by its length.
std::string EncodeFrame(const PeerFrame& frame);

// Length of the payload, read from `header` of kPeerLengthBytes. Fails with
// kPeerProtocol if the length is 0 or above `max_bytes`.
std::optional<std::size_t> PayloadLength(std::string_view header,
                                         std::size_t max_bytes,
                                         Reason* reason);

// Decodes a payload. Fails with kPeerProtocol if the payload is malformed or
// truncated, has another version, no content, a value out of range or trailing
// bytes.
std::optional<PeerFrame> DecodePayload(std::string_view payload,
                                       Reason* reason);

}  // namespace turmericwinch

#endif  // SRC_LIBS_PEER_PEER_CODEC_H_
