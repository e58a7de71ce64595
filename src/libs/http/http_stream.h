// The response to one HttpClient request, read in pieces.

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

// Owned by the coroutine that opened it. Destroying the stream before the end
// of the body closes the connection; at the end of the body the connection
// returns to its pool.
class HttpStream {
 public:
  class Private;

  explicit HttpStream(std::unique_ptr<Private> d);
  ~HttpStream();

  int status() const;
  const HttpHeaders& headers() const;
  // Whether the whole body has been read.
  bool done() const;

  // Reads the next piece of the body, without chunk framing; empty at the end.
  // Returns nullopt if the connection failed or made no progress within
  // `timeout`.
  boost::asio::awaitable<std::optional<std::string>> ReadSome(
      std::chrono::milliseconds timeout,
      HttpFailure* failure);

 private:
  std::unique_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_HTTP_HTTP_STREAM_H_
