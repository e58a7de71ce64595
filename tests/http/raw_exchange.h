// Sends raw bytes to a server whose handler records the request bodies.

#ifndef TESTS_HTTP_RAW_EXCHANGE_H_
#define TESTS_HTTP_RAW_EXCHANGE_H_

#include <boost/asio.hpp>
#include <string>
#include <vector>

#include "libs/http/http_server.h"
#include "support/run_coroutine.h"

namespace turmericwinch {

inline constexpr std::size_t kMaxTestBodyBytes = 4096;

// Runs a server that answers every request with an empty JSON object and
// records its body. Single-threaded.
class RawExchange {
 public:
  explicit RawExchange(HttpServerLimits limits)
      : server_({&context_},
                limits,
                [this](const HttpRequest& request, HttpExchange& exchange) {
                  return Handle(request, exchange);
                }),
        endpoint_(
            *server_.Listen({boost::asio::ip::make_address("127.0.0.1"), 0},
                            nullptr)) {}

  // Sends `bytes` on a new connection, shuts down the sending side if
  // `half_close`, and returns everything received until the server closes the
  // connection or until `answers` complete header blocks have arrived.
  std::string Send(const std::string& bytes, bool half_close, int answers) {
    return RunCoroutine(context_, SendAndReceive(bytes, half_close, answers));
  }

  // Whether the server answers a valid request.
  bool AnswersRequests() {
    return Send("GET /sound HTTP/1.1\r\nConnection: close\r\n\r\n", false, 0)
        .starts_with("HTTP/1.1 200");
  }

  std::vector<std::string> bodies;

 private:
  boost::asio::awaitable<void> Handle(const HttpRequest& request,
                                      HttpExchange& exchange) {
    if (request.target != "/sound")
      bodies.push_back(request.body);
    HttpResponse response = JsonResponse(200, "{}");
    co_await exchange.Send(response);
  }

  boost::asio::awaitable<std::string> SendAndReceive(std::string bytes,
                                                     bool half_close,
                                                     int answers) {
    namespace asio = boost::asio;
    constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
    asio::ip::tcp::socket socket(context_);
    co_await socket.async_connect(endpoint_, asio::use_awaitable);
    co_await asio::async_write(socket, asio::buffer(bytes), kAwait);
    boost::system::error_code ignored;
    if (half_close)
      socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    std::string received;
    char buf[4096];
    while (answers == 0 || Count(received, "\r\n\r\n") < answers) {
      auto [ec, n] = co_await socket.async_read_some(asio::buffer(buf), kAwait);
      received.append(buf, n);
      if (ec)
        break;
    }
    co_return received;
  }

  static int Count(const std::string& text, const std::string& part) {
    int n = 0;
    for (std::size_t at = text.find(part); at != std::string::npos;
         at = text.find(part, at + part.size()))
      ++n;
    return n;
  }

  boost::asio::io_context context_{1};
  HttpServer server_;
  boost::asio::ip::tcp::endpoint endpoint_;
};

}  // namespace turmericwinch

#endif  // TESTS_HTTP_RAW_EXCHANGE_H_
