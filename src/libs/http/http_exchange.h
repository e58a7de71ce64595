// Sends the response to one request that an HttpServer received.

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

// Sends the response to one request. Used only from the handler's coroutine.
class HttpExchange {
 public:
  class Private;

  explicit HttpExchange(Private* d) : d_(d) {}

  // Sends a whole response. Returns false if the caller has disconnected.
  boost::asio::awaitable<bool> Send(const HttpResponse& response);
  // Starts a chunked response. The first Write() or EndStream() call sends the
  // header block together with its own data.
  void StartStream(int status, const HttpHeaders& headers);
  // Sends one chunk. Returns false if the caller has disconnected.
  boost::asio::awaitable<bool> Write(std::string_view data);
  // Ends a chunked response. Returns false if the caller has disconnected.
  boost::asio::awaitable<bool> EndStream();
  // Closes the connection after the response, and announces that in its head.
  // Call before the response is started.
  void CloseAfterResponse();
  // Closes the connection without a response once the handler returns.
  void Abort();
  // Whether the caller has closed its connection. A close that follows unread
  // bytes is not detected.
  bool CallerGone() const;
  // Calls `on_gone`, once and on the connection's thread, when the caller
  // closes its connection before the handler has returned. A close is not
  // detected once the caller has sent bytes of its next request.
  void WatchCaller(std::function<void()> on_gone);
  // Whether the handler has started a response.
  bool started() const;
  // Time at which the first byte of the response was sent; nullopt if none was.
  std::optional<std::chrono::steady_clock::time_point> first_byte_at() const;
  // Index of the traffic thread; selects per-thread state.
  std::size_t thread_index() const;
  // Connection number, increasing over the lifetime of the process.
  std::uint64_t connection_number() const;

 private:
  Private* d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_HTTP_HTTP_EXCHANGE_H_
