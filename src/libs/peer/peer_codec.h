// Frames as bytes: a length and a Thrift structure in the compact protocol.

#ifndef SRC_LIBS_PEER_PEER_CODEC_H_
#define SRC_LIBS_PEER_PEER_CODEC_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "libs/base/reason.h"
#include "libs/peer/peer_frame.h"

namespace turmericwinch {

// The frame with its length in front, ready to be sent.
std::string EncodeFrame(const PeerFrame& frame);

// Length of the payload that follows `header`, kPeerLengthBytes long. Nothing,
// with kPeerProtocol, if it is 0 or above `most`.
std::optional<std::size_t> PayloadLength(std::string_view header,
                                         std::size_t most,
                                         Reason* reason);

// Reads a payload. Nothing, with kPeerProtocol, if it is garbled or truncated,
// has another version, no content or a value out of range.
std::optional<PeerFrame> DecodePayload(std::string_view payload,
                                       Reason* reason);

}  // namespace turmericwinch

#endif  // SRC_LIBS_PEER_PEER_CODEC_H_
