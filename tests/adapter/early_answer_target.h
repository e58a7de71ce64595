// A target that answers before it has read the request's body.

#ifndef TESTS_ADAPTER_EARLY_ANSWER_TARGET_H_
#define TESTS_ADAPTER_EARLY_ANSWER_TARGET_H_

#include <sys/socket.h>

#include <boost/asio.hpp>
#include <memory>
#include <string>
#include <utility>

namespace turmericwinch {

// How the target ends the connection after its bytes. kReset discards what is
// not yet sent, kCloseUnread closes with unread bytes of the request,
// kShutdownThenReset announces the end of its bytes before it resets.
enum class EarlyEnd { kReset, kCloseUnread, kShutdownThenReset };

// Waits for the first byte of a request, sends `bytes` without reading the
// request, and ends the connection. Its receive buffer is small, so that a long
// upload does not fit into the socket buffers.
class EarlyAnswerTarget {
 public:
  EarlyAnswerTarget(boost::asio::io_context& context,
                    std::string bytes,
                    EarlyEnd end)
      : bytes_(std::make_shared<const std::string>(std::move(bytes))),
        end_(end),
        acceptor_(context) {
    constexpr int kReceiveBufferBytes = 4096;
    acceptor_.open(boost::asio::ip::tcp::v4());
    acceptor_.set_option(
        boost::asio::socket_base::receive_buffer_size(kReceiveBufferBytes));
    acceptor_.bind({boost::asio::ip::make_address("127.0.0.1"), 0});
    acceptor_.listen();
    Accept();
  }

  boost::asio::ip::tcp::endpoint endpoint() const {
    return acceptor_.local_endpoint();
  }

 private:
  using Socket = boost::asio::ip::tcp::socket;

  void Accept() {
    acceptor_.async_accept([this](boost::system::error_code ec, Socket socket) {
      if (ec)
        return;
      boost::asio::co_spawn(acceptor_.get_executor(),
                            Serve(std::move(socket), bytes_, end_),
                            boost::asio::detached);
      Accept();
    });
  }

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

  std::shared_ptr<const std::string> bytes_;
  EarlyEnd end_;
  boost::asio::ip::tcp::acceptor acceptor_;
};

}  // namespace turmericwinch

#endif  // TESTS_ADAPTER_EARLY_ANSWER_TARGET_H_
