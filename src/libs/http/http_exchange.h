// The answering side of one request at an HttpServer.

#ifndef SRC_LIBS_HTTP_HTTP_EXCHANGE_H_
#define SRC_LIBS_HTTP_HTTP_EXCHANGE_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

#include "libs/http/http_message.h"

namespace turmericwinch {

// The answering side of one request. Used only from the handler's coroutine.
class HttpExchange {
 public:
  class Private;

  explicit HttpExchange(Private* d) : d_(d) {}

  // Sends a whole response. False if the caller is gone.
  boost::asio::awaitable<bool> Send(const HttpResponse& response);
  // Starts a chunked response; its body follows by Write() and EndStream(),
  // the first of which also sends the head.
  void StartStream(int status, const HttpHeaders& headers);
  // Sends one chunk. False if the caller is gone.
  boost::asio::awaitable<bool> Write(std::string_view data);
  // Ends a chunked response. False if the caller is gone.
  boost::asio::awaitable<bool> EndStream();
  // Closes the connection without an answer once the handler returns.
  void Abort();
  // Whether the caller has closed its connection, as far as can be told
  // without reading.
  bool CallerGone() const;
  // Calls `on_gone`, once and on the connection's thread, when the caller
  // closes its connection before the handler has returned. Not noticed once the
  // caller has sent bytes of a next request.
  void WatchCaller(std::function<void()> on_gone);
  // Whether a response was started.
  bool started() const;
  // When the first byte of the response was sent, if any was.
  std::optional<std::chrono::steady_clock::time_point> first_byte_at() const;
  // Index of the traffic thread, for per-thread state.
  std::size_t thread_index() const;
  // Number of the connection: later ones of the process have higher numbers.
  std::uint64_t connection_number() const;

 private:
  Private* d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_HTTP_HTTP_EXCHANGE_H_
