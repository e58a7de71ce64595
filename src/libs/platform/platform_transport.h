// Sends calls to the platform, limits and counts them, and maps failures to
// result codes.

#ifndef SRC_LIBS_PLATFORM_PLATFORM_TRANSPORT_H_
#define SRC_LIBS_PLATFORM_PLATFORM_TRANSPORT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>

#include "libs/http/http_message.h"
#include "libs/platform/call_counter.h"
#include "libs/platform/platform_client.h"
#include "libs/platform/platform_gate.h"

namespace turmericwinch {

// Shared by all dialects of the object API. Used only from its io_context's
// thread.
class PlatformTransport {
 public:
  PlatformTransport(boost::asio::io_context& context,
                    boost::asio::ip::tcp::endpoint endpoint);
  ~PlatformTransport();

  // See HttpPlatformClient.
  void Limit(PlatformRates fleet, std::size_t hosts);
  void SetHosts(std::size_t hosts);
  // See PlatformLimiter.
  void SetProbingHosts(std::size_t hosts);
  // See HttpClient::SetUnresponsivePeerTimeout().
  void SetUnresponsivePeerTimeout(std::chrono::milliseconds time);

  // Calls `observer` with the headers of each response, before Send() returns.
  void SetHeadersObserver(std::function<void(const HttpHeaders&)> observer);

  // Sends `request` and returns the response if its status is 200, 201 or 204.
  // Reasons are those of PlatformClient: the outcome of a write is unknown if
  // the request may have arrived and no response came. The body of a response
  // with another status is stored in `error_body`, which may be null.
  boost::asio::awaitable<std::optional<HttpResponse>> Send(
      PlatformDuty duty,
      PlatformCallKind kind,
      HttpRequest request,
      std::chrono::milliseconds timeout,
      Reason* reason,
      std::string* error_body = nullptr);

  const CallCounter& counter() const;
  // Null before Limit() is called.
  const PlatformLimiter* limiter() const;

 private:
  class Private;
  std::unique_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_PLATFORM_PLATFORM_TRANSPORT_H_
