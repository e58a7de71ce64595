// An HTTP/1.1 client with pooled connections, one per traffic thread.

#ifndef SRC_LIBS_HTTP_HTTP_CLIENT_H_
#define SRC_LIBS_HTTP_HTTP_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "libs/http/http_cancel.h"
#include "libs/http/http_constants.h"
#include "libs/http/http_failure.h"
#include "libs/http/http_message.h"
#include "libs/http/http_stream.h"

namespace turmericwinch {

// Limits on the progress of one call.
struct HttpTimeouts {
  std::chrono::milliseconds connect{500};
  std::chrono::milliseconds first_byte{5000};
  std::chrono::milliseconds between_bytes{5000};
};

// What a call may add to its request. `cancel` may be null and outlives the
// call. A response that `matches_request` denies belongs to an earlier request
// on the connection: it is dropped, and the next one is awaited.
struct HttpCallOptions {
  HttpCallOptions(HttpTimeouts timeouts = HttpTimeouts())  // NOLINT
      : timeouts(timeouts) {}

  HttpTimeouts timeouts;
  HttpCancel* cancel = nullptr;
  std::function<bool(const HttpHeaders&)> matches_request;
};

// Used only from its io_context's thread.
class HttpClient {
 public:
  // Pooled connections are renewed at `most_age` at the latest, whether they
  // work or not: something on the way may lose track of old ones.
  explicit HttpClient(boost::asio::io_context& context,
                      std::chrono::milliseconds most_age = kHttpPoolMaxAge);
  ~HttpClient();

  // Sends `request` and reads the response's header.
  boost::asio::awaitable<std::unique_ptr<HttpStream>> Open(
      boost::asio::ip::tcp::endpoint endpoint,
      const HttpRequest& request,
      const HttpCallOptions& options,
      HttpFailure* failure);

  // Sends `request` and reads the whole response.
  boost::asio::awaitable<std::optional<HttpResponse>> Call(
      boost::asio::ip::tcp::endpoint endpoint,
      const HttpRequest& request,
      const HttpCallOptions& options,
      HttpFailure* failure);

  // Sets how long a silent peer may go unnoticed on connections made from now
  // on: TCP probes and unacknowledged data are given up after `time`. Not set
  // by default.
  void SetUnresponsivePeerTimeout(std::chrono::milliseconds time);

  // Closes all idle connections to `endpoint`, as after a silent one.
  void CloseIdleConnections(const boost::asio::ip::tcp::endpoint& endpoint);

  // Idle pooled connections now.
  std::size_t IdleConnections() const;

  class Private;

 private:
  std::shared_ptr<Private> d_;
};

// Age at which a connection is renewed: between half of `most` and `most`, by
// `random`, which is spread over all its values.
std::chrono::milliseconds RenewalAge(std::chrono::milliseconds most,
                                     std::uint32_t random);

// "IP:PORT" as an endpoint; nothing if it is not one.
std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    std::string_view text);

// `endpoint` as "IP:PORT".
std::string ToText(const boost::asio::ip::tcp::endpoint& endpoint);

}  // namespace turmericwinch

#endif  // SRC_LIBS_HTTP_HTTP_CLIENT_H_
