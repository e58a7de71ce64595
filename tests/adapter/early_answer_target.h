// A target that answers before it has read the request's body.

#ifndef TESTS_ADAPTER_EARLY_ANSWER_TARGET_H_
#define TESTS_ADAPTER_EARLY_ANSWER_TARGET_H_

#include <sys/socket.h>

#include <boost/asio.hpp>
#include <memory>
#include <string>
#include <utility>

#include "connection_target.h"

namespace turmericwinch {

// How the target ends the connection after its bytes. kReset discards what is
// not yet sent, kCloseUnread closes with unread bytes of the request,
// kShutdownThenReset announces the end of its bytes before it resets.
enum class EarlyEnd { kReset, kCloseUnread, kShutdownThenReset };

// Waits for the first byte of a request, sends `bytes` without reading the
// request, and ends the connection. Its receive buffer is small, so that a long
// upload does not fit into the socket buffers.
class EarlyAnswerTarget : public ConnectionTarget {
 public:
  EarlyAnswerTarget(boost::asio::io_context& context,
                    std::string bytes,
                    EarlyEnd end)
      : ConnectionTarget(
            context,
            [bytes = std::make_shared<const std::string>(std::move(bytes)),
             end](Socket socket) {
              return Serve(std::move(socket), bytes, end);
            },
            kReceiveBufferBytes) {}

 private:
  static constexpr int kReceiveBufferBytes = 4096;

  static boost::asio::awaitable<void>
  Serve(Socket socket, std::shared_ptr<const std::string> bytes, EarlyEnd end) {
    constexpr auto kAwait = boost::asio::as_tuple(boost::asio::use_awaitable);
    co_await socket.async_wait(Socket::wait_read, kAwait);
    co_await boost::asio::async_write(socket, boost::asio::buffer(*bytes),
                                      kAwait);
    boost::system::error_code ec;
    if (end == EarlyEnd::kShutdownThenReset)
      socket.shutdown(Socket::shutdown_send, ec);
    if (end != EarlyEnd::kCloseUnread)
      socket.set_option(boost::asio::socket_base::linger(true, 0), ec);
    socket.close(ec);
  }
};

}  // namespace turmericwinch

#endif  // TESTS_ADAPTER_EARLY_ANSWER_TARGET_H_
