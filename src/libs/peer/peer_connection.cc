#include "libs/peer/peer_connection.h"

#include <netinet/tcp.h>

#include <array>
#include <boost/asio.hpp>

#include "libs/base/digest.h"
#include "libs/peer/peer_codec.h"
#include "libs/peer/peer_constants.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using UserTimeout =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
using KeepAliveIdle =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;

constexpr int kKeepAliveIdleS = 30;
constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);

std::nullopt_t Ended(const boost::system::error_code& ec, Reason* reason) {
  return Fail(reason, ResultCode::kPeerUnavailable,
              "the connection to the peer ended: " + ec.message());
}

// The next frame, which must carry a `Content`.
template <typename Content>
asio::awaitable<std::optional<Content>> Expect(tcp::socket& socket,
                                               Reason* reason) {
  std::size_t bytes = 0;
  std::optional<PeerFrame> frame =
      co_await ReadFrame(socket, kPeerMaxHandshakeFrameBytes, &bytes, reason);
  if (!frame)
    co_return std::nullopt;
  if (!std::holds_alternative<Content>(*frame)) {
    co_return Fail(reason, ResultCode::kPeerProtocol,
                   "a frame came before the handshake was done");
  }
  co_return std::get<Content>(std::move(*frame));
}

asio::awaitable<std::optional<bool>> Exchange(tcp::socket& socket,
                                              PeerRole role,
                                              std::string key,
                                              Reason* reason) {
  PeerHandshake handshake(role, std::move(key), RandomHex(kPeerChallengeBytes));
  const std::string hello = EncodeFrame(handshake.Hello());
  if (!co_await WriteFrame(socket, hello, reason))
    co_return std::nullopt;
  std::optional<PeerHello> other = co_await Expect<PeerHello>(socket, reason);
  if (!other)
    co_return std::nullopt;
  std::optional<PeerProof> proof = handshake.Answer(*other, reason);
  if (!proof)
    co_return std::nullopt;
  const std::string answer = EncodeFrame(*proof);
  // The side that accepts proves itself only to a peer that has the key.
  if (role == PeerRole::kConnects &&
      !co_await WriteFrame(socket, answer, reason))
    co_return std::nullopt;
  std::optional<PeerProof> checked = co_await Expect<PeerProof>(socket, reason);
  if (!checked || !handshake.Check(*checked, reason))
    co_return std::nullopt;
  if (role == PeerRole::kAccepts &&
      !co_await WriteFrame(socket, answer, reason))
    co_return std::nullopt;
  co_return true;
}

}  // namespace

asio::awaitable<std::optional<PeerFrame>> ReadFrame(tcp::socket& socket,
                                                    std::size_t most,
                                                    std::size_t* bytes,
                                                    Reason* reason) {
  std::array<char, kPeerLengthBytes> header{};
  auto [ec, n] =
      co_await asio::async_read(socket, asio::buffer(header), kTuple);
  if (ec)
    co_return Ended(ec, reason);
  std::optional<std::size_t> length =
      PayloadLength({header.data(), header.size()}, most, reason);
  if (!length)
    co_return std::nullopt;
  std::string payload(*length, '\0');
  auto [body_ec, body_n] =
      co_await asio::async_read(socket, asio::buffer(payload), kTuple);
  if (body_ec == asio::error::eof) {
    co_return Fail(reason, ResultCode::kPeerProtocol,
                   "a frame of " + std::to_string(*length) +
                       " bytes ended after " + std::to_string(body_n));
  }
  if (body_ec)
    co_return Ended(body_ec, reason);
  *bytes = header.size() + payload.size();
  co_return DecodePayload(payload, reason);
}

asio::awaitable<std::optional<bool>> WriteFrame(tcp::socket& socket,
                                                const std::string& bytes,
                                                Reason* reason) {
  auto [ec, n] =
      co_await asio::async_write(socket, asio::buffer(bytes), kTuple);
  if (ec)
    co_return Ended(ec, reason);
  co_return true;
}

asio::awaitable<std::optional<bool>> PerformHandshake(
    std::shared_ptr<tcp::socket> socket,
    PeerRole role,
    std::string key,
    Reason* reason) {
  asio::steady_timer timer(socket->get_executor(), kPeerConnectTimeout);
  timer.async_wait([socket](const boost::system::error_code& ec) {
    boost::system::error_code ignored;
    if (!ec)
      socket->close(ignored);
  });
  co_return co_await Exchange(*socket, role, std::move(key), reason);
}

void ConfigureSocket(tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(
      UserTimeout(static_cast<int>(kPeerUnacknowledgedTimeout.count())),
      ignored);
  socket.set_option(KeepAliveIdle(kKeepAliveIdleS), ignored);
  socket.set_option(tcp::socket::keep_alive(true), ignored);
  socket.set_option(tcp::no_delay(true), ignored);
}

}  // namespace turmericwinch
