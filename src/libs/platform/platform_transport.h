// Sends calls to the platform: limited, counted, and with failures sorted.

#ifndef SRC_LIBS_PLATFORM_PLATFORM_TRANSPORT_H_
#define SRC_LIBS_PLATFORM_PLATFORM_TRANSPORT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <memory>
#include <optional>

#include "libs/http/http_message.h"
#include "libs/platform/call_counter.h"
#include "libs/platform/platform_client.h"
#include "libs/platform/platform_gate.h"

namespace turmericwinch {

// Shared by all spellings of the object API. Used only from its io_context's
// thread.
class PlatformTransport {
 public:
  PlatformTransport(boost::asio::io_context& context,
                    boost::asio::ip::tcp::endpoint endpoint);
  ~PlatformTransport();

  // As HttpPlatformClient.
  void Limit(PlatformRates fleet, std::size_t hosts);
  void SetHosts(std::size_t hosts);
  // As HttpClient::SetUnresponsivePeerTimeout().
  void SetUnresponsivePeerTimeout(std::chrono::milliseconds time);

  // The response if it has a status of success. Reasons as PlatformClient says:
  // a write whose answer is missing leaves its effect in doubt. The body of a
  // response with another status goes to `refused`, which may be null.
  boost::asio::awaitable<std::optional<HttpResponse>> Send(
      PlatformDuty duty,
      PlatformCallKind kind,
      HttpRequest request,
      std::chrono::milliseconds timeout,
      Reason* reason,
      std::string* refused = nullptr);

  const CallCounter& counter() const;
  // Null without Limit().
  const PlatformLimiter* limiter() const;

 private:
  class Private;
  std::unique_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_PLATFORM_PLATFORM_TRANSPORT_H_
