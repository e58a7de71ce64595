// The response to one request of the client, read piece by piece.

#ifndef SRC_LIBS_HTTP_HTTP_STREAM_H_
#define SRC_LIBS_HTTP_HTTP_STREAM_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "libs/http/http_failure.h"
#include "libs/http/http_message.h"

namespace turmericwinch {

// Owned by the coroutine that opened it. Dropping it before the end closes the
// connection; at the end the connection goes back to its pool.
class HttpStream {
 public:
  class Private;

  explicit HttpStream(std::unique_ptr<Private> d);
  ~HttpStream();

  int status() const;
  const HttpHeaders& headers() const;
  // Whether the whole body was read.
  bool done() const;

  // The next piece of the body, without its chunk framing; empty at the end.
  // Nothing if the connection failed or made no progress within `timeout`.
  boost::asio::awaitable<std::optional<std::string>> ReadSome(
      std::chrono::milliseconds timeout,
      HttpFailure* failure);

 private:
  std::unique_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_HTTP_HTTP_STREAM_H_
