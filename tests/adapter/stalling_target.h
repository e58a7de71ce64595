// A target whose answers stop before their end.

#ifndef TESTS_ADAPTER_STALLING_TARGET_H_
#define TESTS_ADAPTER_STALLING_TARGET_H_

#include <boost/asio.hpp>
#include <memory>
#include <string>
#include <utility>

namespace turmericwinch {

// Reads one request from each connection, sends `bytes` and keeps the
// connection open until the peer closes it.
class StallingTarget {
 public:
  StallingTarget(boost::asio::io_context& context, std::string bytes)
      : acceptor_(context, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        bytes_(std::make_shared<const std::string>(std::move(bytes))) {
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
                            Serve(std::move(socket), bytes_),
                            boost::asio::detached);
      Accept();
    });
  }

  static boost::asio::awaitable<void> Serve(
      Socket socket,
      std::shared_ptr<const std::string> bytes) {
    constexpr auto kAwait = boost::asio::as_tuple(boost::asio::use_awaitable);
    std::string request;
    co_await boost::asio::async_read_until(
        socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", kAwait);
    co_await boost::asio::async_write(socket, boost::asio::buffer(*bytes),
                                      kAwait);
    char buf[256];
    for (;;) {
      auto [ec, n] =
          co_await socket.async_read_some(boost::asio::buffer(buf), kAwait);
      if (ec)
        co_return;
    }
  }

  boost::asio::ip::tcp::acceptor acceptor_;
  std::shared_ptr<const std::string> bytes_;
};

}  // namespace turmericwinch

#endif  // TESTS_ADAPTER_STALLING_TARGET_H_
