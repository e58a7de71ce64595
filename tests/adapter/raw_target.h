// A target that answers each connection with the same bytes.

#ifndef TESTS_ADAPTER_RAW_TARGET_H_
#define TESTS_ADAPTER_RAW_TARGET_H_

#include <boost/asio.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <utility>

#include "connection_target.h"

namespace turmericwinch {

// What the target does with a connection after its bytes. With kStall it keeps
// the connection open until the peer closes it, with kTrickle it also sends one
// more byte every kTrickleInterval.
enum class ConnectionEnd { kClose, kReset, kStall, kTrickle };

inline constexpr std::chrono::milliseconds kTrickleInterval{20};

// Reads one request from each connection, sends `bytes` and ends the
// connection.
class RawTarget : public ConnectionTarget {
 public:
  RawTarget(boost::asio::io_context& context,
            std::string bytes,
            ConnectionEnd end)
      : ConnectionTarget(
            context,
            [bytes = std::make_shared<const std::string>(std::move(bytes)),
             end](Socket socket) {
              return Serve(std::move(socket), bytes, end);
            }) {}

 private:
  // Outlives the target if the peer does not close the connection.
  static boost::asio::awaitable<void> Serve(
      Socket socket,
      std::shared_ptr<const std::string> bytes,
      ConnectionEnd end) {
    constexpr auto kAwait = boost::asio::as_tuple(boost::asio::use_awaitable);
    std::string request;
    co_await boost::asio::async_read_until(
        socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", kAwait);
    auto [sent_ec, sent] = co_await boost::asio::async_write(
        socket, boost::asio::buffer(*bytes), kAwait);
    boost::system::error_code ec = sent_ec;
    boost::asio::steady_timer timer(socket.get_executor());
    while (!ec && end == ConnectionEnd::kTrickle) {
      timer.expires_after(kTrickleInterval);
      co_await timer.async_wait(kAwait);
      auto [trickle_ec, n] = co_await boost::asio::async_write(
          socket, boost::asio::buffer("x", 1), kAwait);
      ec = trickle_ec;
    }
    char buf[256];
    while (!ec && end == ConnectionEnd::kStall) {
      auto [read_ec, n] =
          co_await socket.async_read_some(boost::asio::buffer(buf), kAwait);
      ec = read_ec;
    }
    // Closing without lingering resets the connection.
    if (end == ConnectionEnd::kReset)
      socket.set_option(boost::asio::socket_base::linger(true, 0), ec);
    socket.close(ec);
  }
};

}  // namespace turmericwinch

#endif  // TESTS_ADAPTER_RAW_TARGET_H_
