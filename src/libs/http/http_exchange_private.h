// State of one HttpExchange on its connection; internal to the HTTP library.

#ifndef SRC_LIBS_HTTP_HTTP_EXCHANGE_PRIVATE_H_
#define SRC_LIBS_HTTP_HTTP_EXCHANGE_PRIVATE_H_

#include <sys/socket.h>

#include <boost/asio.hpp>
#include <memory>
#include <string>
#include <utility>

#include "libs/http/http_constants.h"
#include "libs/http/http_exchange.h"
#include "libs/http/socket_deadline.h"

namespace turmericwinch {

// A pending wait for the caller to close its connection. Shared with the
// completion handler, which may run after the exchange has ended.
struct CallerWatch {
  std::function<void()> on_gone;
  bool ended = false;
};

class HttpExchange::Private {
 public:
  Private(boost::asio::ip::tcp::socket& socket,
          SocketDeadline& deadline,
          bool keep_alive,
          std::size_t thread_index)
      : socket(socket),
        deadline(deadline),
        keep_alive(keep_alive),
        thread_index(thread_index) {}

  ~Private() { StopWatchingCaller(); }

  // Waits until the socket is readable, which is true after a close and also
  // after new bytes; IsClosed() tells the two apart.
  void Watch(std::function<void()> on_gone) {
    watch = std::make_shared<CallerWatch>();
    watch->on_gone = std::move(on_gone);
    socket.async_wait(boost::asio::ip::tcp::socket::wait_read,
                      [this, watch = watch](boost::system::error_code ec) {
                        if (ec || watch->ended || !IsClosed())
                          return;
                        keep_alive = false;
                        watch->ended = true;
                        watch->on_gone();
                      });
  }

  void StopWatchingCaller() {
    if (!watch || watch->ended)
      return;
    watch->ended = true;
    boost::system::error_code ignored;
    socket.cancel(ignored);
  }

  bool IsClosed() const {
    char probe = 0;
    const ssize_t n =
        ::recv(socket.native_handle(), &probe, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }

  // Writes what the socket accepts without waiting, usually everything, which
  // avoids a pass through the scheduler. Returns the data left to write;
  // nullopt if the caller has disconnected.
  std::optional<boost::asio::const_buffer> TryWrite(
      boost::asio::const_buffer data) {
    if (!first_byte)
      first_byte = std::chrono::steady_clock::now();
    boost::system::error_code ec;
    const std::size_t n = socket.write_some(data, ec);
    if (!ec || ec == boost::asio::error::would_block)
      return data + n;
    keep_alive = false;
    return std::nullopt;
  }

  boost::asio::awaitable<bool> WriteRest(boost::asio::const_buffer data) {
    deadline.ExpiresAfter(kHttpWriteTimeout);
    auto [ec, n] = co_await boost::asio::async_write(
        socket, data, boost::asio::as_tuple(boost::asio::use_awaitable));
    if (ec)
      keep_alive = false;
    co_return !ec;
  }

  // Writes all of `buf`. Returns false if the caller has disconnected.
  boost::asio::awaitable<bool> WriteBuffer() {
    head_pending = false;
    auto rest = TryWrite(boost::asio::buffer(buf));
    if (!rest || rest->size() == 0)
      co_return rest.has_value();
    co_return co_await WriteRest(*rest);
  }

  // Clears `buf` unless it holds a header block that is not sent yet.
  void PrepareBuffer() {
    if (!head_pending)
      buf.clear();
  }

  boost::asio::ip::tcp::socket& socket;
  SocketDeadline& deadline;
  bool keep_alive;
  bool started = false;
  bool ended = false;
  std::size_t thread_index;
  std::uint64_t connection = 0;
  // Bytes of the current write. The header block of a chunked response stays
  // here until its first chunk is sent.
  std::string buf;
  bool head_pending = false;
  std::optional<std::chrono::steady_clock::time_point> first_byte;
  std::shared_ptr<CallerWatch> watch;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_HTTP_HTTP_EXCHANGE_PRIVATE_H_
