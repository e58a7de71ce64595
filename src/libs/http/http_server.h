// An HTTP/1.1 server whose connections run on a set of traffic threads.

#ifndef SRC_LIBS_HTTP_HTTP_SERVER_H_
#define SRC_LIBS_HTTP_HTTP_SERVER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "libs/base/reason.h"
#include "libs/http/http_constants.h"
#include "libs/http/http_exchange.h"
#include "libs/http/http_message.h"

namespace turmericwinch {

// Handles one request; must send exactly one response.
using HttpHandler =
    std::function<boost::asio::awaitable<void>(const HttpRequest&,
                                               HttpExchange&)>;

// Limits of a server; sizes are in bytes. The smaller of `header_timeout` and
// `read_timeout` applies to the header block, then `read_timeout` to the body.
struct HttpServerLimits {
  std::size_t most_body_bytes;
  std::size_t most_connections;
  std::chrono::milliseconds read_timeout = kHttpReadTimeout;
  std::chrono::milliseconds header_timeout = kHttpReadTimeout;
  std::chrono::milliseconds idle_timeout = kHttpIdleTimeout;
  std::size_t most_header_bytes = kHttpMostHeaderBytes;
};

// Accepts connections on one address and assigns them to the threads round
// robin. A malformed request is answered with a JSON error and never reaches
// the handler.
class HttpServer {
 public:
  // `contexts` must outlive the server; the first one accepts connections.
  HttpServer(std::vector<boost::asio::io_context*> contexts,
             HttpServerLimits limits,
             HttpHandler handler);
  ~HttpServer();

  // Binds `endpoint` and starts to accept. Returns the bound address, with the
  // port that the kernel chose if `endpoint` has port 0.
  std::optional<boost::asio::ip::tcp::endpoint> Listen(
      const boost::asio::ip::tcp::endpoint& endpoint,
      Reason* reason);

  // Sets the limits for requests read from now on. Safe from any thread.
  void SetLimits(const HttpServerLimits& limits);

  // From now on, closes each connection after its current response. Safe from
  // any thread.
  void CloseAfterResponses();

  // Closes the connections that are waiting for a request. Must run on the
  // thread of the first context, which must be the only context.
  void CloseIdle();

  // Stops accepting; open connections are closed after their current response.
  // Safe from any thread.
  void StopAccepting();

  // Number of requests being handled now. Safe from any thread.
  std::size_t ActiveRequests() const;
  // Number of connections open now. Safe from any thread.
  std::size_t Connections() const;

  class Private;

 private:
  std::shared_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_HTTP_HTTP_SERVER_H_
