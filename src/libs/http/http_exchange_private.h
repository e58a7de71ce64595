// State of one exchange on its connection. Internal to the library.

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

// A wait for the caller's close; shared with its completion, which may come
// after the exchange has ended.
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

  ~Private() { EndWatch(); }

  // Waits for the socket to become readable: a close is, and so are bytes.
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

  void EndWatch() {
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

  // Writes as much as the socket takes at once, mostly all: that saves the
  // way through the scheduler. Answers the rest, nothing if the caller is gone.
  std::optional<boost::asio::const_buffer> WriteNow(
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

  // Writes all of `buf`. False if the caller is gone.
  boost::asio::awaitable<bool> WriteBuffer() {
    head_waits = false;
    auto rest = WriteNow(boost::asio::buffer(buf));
    if (!rest || rest->size() == 0)
      co_return rest.has_value();
    co_return co_await WriteRest(*rest);
  }

  // Empties `buf` but for a head that waits.
  void StartBuffer() {
    if (!head_waits)
      buf.clear();
  }

  boost::asio::ip::tcp::socket& socket;
  SocketDeadline& deadline;
  bool keep_alive;
  bool started = false;
  bool ended = false;
  std::size_t thread_index;
  std::uint64_t connection = 0;
  // Bytes of the write under way; the head of a stream waits here for its
  // first chunk.
  std::string buf;
  bool head_waits = false;
  std::optional<std::chrono::steady_clock::time_point> first_byte;
  std::shared_ptr<CallerWatch> watch;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_HTTP_HTTP_EXCHANGE_PRIVATE_H_
