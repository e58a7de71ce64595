// A pooled client connection; internal to the HTTP library.

#ifndef SRC_LIBS_HTTP_HTTP_CONNECTION_H_
#define SRC_LIBS_HTTP_HTTP_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>

#include "libs/http/http_client.h"
#include "libs/http/http_stream.h"
#include "libs/http/socket_deadline.h"

namespace turmericwinch {

namespace http_internal {

struct HttpConnection {
  explicit HttpConnection(boost::asio::io_context& context)
      : socket(context), deadline(socket) {}

  boost::asio::ip::tcp::socket socket;
  SocketDeadline deadline;
  boost::beast::flat_buffer buf{kHttpMaxBufferedBytes};
  std::chrono::steady_clock::time_point idle_since;
  std::chrono::steady_clock::time_point renew_at;
  // Longest idle time before reuse, from the Keep-Alive header of the peer if
  // it sent one.
  std::chrono::milliseconds max_idle_time = kHttpPoolIdle;
};

// Describes the failure `ec` of an operation on `connection`.
inline HttpFailure MakeFailure(HttpPhase phase,
                               bool may_have_arrived,
                               const HttpConnection& connection,
                               const boost::system::error_code& ec) {
  const bool timed_out = connection.deadline.expired();
  return {phase, may_have_arrived, timed_out,
          timed_out ? "the connection made no progress before its deadline"
                    : ec.message()};
}

using Parser =
    boost::beast::http::response_parser<boost::beast::http::buffer_body>;

}  // namespace http_internal

class HttpClient::Private {
 public:
  using Connection = std::unique_ptr<http_internal::HttpConnection>;

  Private(boost::asio::io_context& context, std::chrono::milliseconds max_age)
      : context(context), max_age(max_age) {}

  // Removes and returns a pooled connection that is still usable, or null.
  Connection TakeIdleConnection(const boost::asio::ip::tcp::endpoint& endpoint);
  void ReturnToPool(const boost::asio::ip::tcp::endpoint& endpoint,
                    Connection connection);

  boost::asio::io_context& context;
  std::chrono::milliseconds max_age;
  std::chrono::milliseconds max_idle_time = kHttpPoolIdle;
  // 0 leaves TCP keepalive and the TCP user timeout off.
  std::chrono::milliseconds unresponsive_peer_timeout{0};
  std::minstd_rand random{std::random_device{}()};
  std::map<boost::asio::ip::tcp::endpoint, std::deque<Connection>> idle;
};

class HttpStream::Private {
 public:
  std::weak_ptr<HttpClient::Private> client;
  boost::asio::ip::tcp::endpoint endpoint;
  HttpClient::Private::Connection connection;
  std::optional<http_internal::Parser> parser;
  HttpHeaders headers;
  HttpCancel* cancel = nullptr;
  bool done = false;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_HTTP_HTTP_CONNECTION_H_
