// Reads and writes frames on one connection to a peer.

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

// Reads one frame whose payload has at most `max_bytes` bytes. Fails with
// kPeerUnavailable if the connection ended, or with kPeerProtocol if the frame
// is not valid.
boost::asio::awaitable<std::optional<PeerFrame>> ReadFrame(
    boost::asio::ip::tcp::socket& socket,
    std::size_t max_bytes,
    std::size_t* bytes,
    Reason* reason);

// Writes a frame encoded by EncodeFrame().
boost::asio::awaitable<std::optional<bool>> WriteFrame(
    boost::asio::ip::tcp::socket& socket,
    const std::string& bytes,
    Reason* reason);

// Runs the handshake; the socket is closed if it takes longer than
// kPeerConnectTimeout.
boost::asio::awaitable<std::optional<bool>> PerformHandshake(
    std::shared_ptr<boost::asio::ip::tcp::socket> socket,
    PeerRole role,
    std::string key,
    Reason* reason);

// Sets the TCP options of a peer connection: it is closed when sent data stays
// unacknowledged, and small frames are sent without delay.
void ConfigureSocket(boost::asio::ip::tcp::socket& socket);

}  // namespace turmericwinch

#endif  // SRC_LIBS_PEER_PEER_CONNECTION_H_
