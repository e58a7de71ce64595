// Frames over one connection to a peer.

#ifndef SRC_LIBS_PEER_PEER_CONNECTION_H_
#define SRC_LIBS_PEER_PEER_CONNECTION_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <optional>
#include <string>

#include "libs/base/reason.h"
#include "libs/peer/peer_frame.h"
#include "libs/peer/peer_handshake.h"

namespace turmericwinch {

// Reads one frame whose payload has at most `most` bytes. Nothing, with
// kPeerUnavailable if the connection ended or kPeerProtocol.
boost::asio::awaitable<std::optional<PeerFrame>> ReadFrame(
    boost::asio::ip::tcp::socket& socket,
    std::size_t most,
    std::size_t* bytes,
    Reason* reason);

// Writes bytes that EncodeFrame() made.
boost::asio::awaitable<std::optional<bool>> WriteFrame(
    boost::asio::ip::tcp::socket& socket,
    const std::string& bytes,
    Reason* reason);

// Runs the handshake. The socket is closed if it takes too long.
boost::asio::awaitable<std::optional<bool>> PerformHandshake(
    std::shared_ptr<boost::asio::ip::tcp::socket> socket,
    PeerRole role,
    std::string key,
    Reason* reason);

// Ends connections on which data stays unacknowledged.
void ConfigureSocket(boost::asio::ip::tcp::socket& socket);

}  // namespace turmericwinch

#endif  // SRC_LIBS_PEER_PEER_CONNECTION_H_
