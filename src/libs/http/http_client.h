// An HTTP/1.1 client with a connection pool; one client per traffic thread.

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

// Timeouts for the phases of one call.
struct HttpTimeouts {
  std::chrono::milliseconds connect{500};
  std::chrono::milliseconds first_byte{5000};
  std::chrono::milliseconds between_bytes{5000};
};

// Options of one call. `cancel` may be null and must outlive the call. A
// response for which `matches_request` returns false belongs to an earlier
// request on the connection: the client discards it and reads the next one.
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
  // Pooled connections are replaced at the age `max_age` at the latest, even if
  // they still work: a device on the network path may have dropped its state
  // for an old connection.
  explicit HttpClient(boost::asio::io_context& context,
                      std::chrono::milliseconds max_age = kHttpPoolMaxAge);
  ~HttpClient();

  // Sends `request` and reads the response header.
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

  // Sets the TCP keepalive and user timeout of connections opened from now on:
  // the kernel closes a connection whose peer has acknowledged neither probes
  // nor data for `time`. Not set by default.
  void SetUnresponsivePeerTimeout(std::chrono::milliseconds time);

  // Sets the time after which an idle connection is not used again. A peer may
  // announce a shorter one. kHttpPoolIdle by default.
  void SetMaxIdleTime(std::chrono::milliseconds time);

  // Closes all idle connections to `endpoint`, for example after its peer
  // stopped responding.
  void CloseIdleConnections(const boost::asio::ip::tcp::endpoint& endpoint);

  // Number of pooled connections that are idle now.
  std::size_t IdleConnections() const;

  class Private;

 private:
  std::shared_ptr<Private> d_;
};

// Age at which a connection is replaced: between half of `max_age` and
// `max_age`. `random` must be uniformly distributed over all its values.
std::chrono::milliseconds RenewalAge(std::chrono::milliseconds max_age,
                                     std::uint32_t random);

// Parses "IP:PORT"; returns nullopt if `text` has another form.
std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    std::string_view text);

// Formats `endpoint` as "IP:PORT".
std::string ToText(const boost::asio::ip::tcp::endpoint& endpoint);

}  // namespace turmericwinch

#endif  // SRC_LIBS_HTTP_HTTP_CLIENT_H_
