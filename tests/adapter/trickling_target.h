// A target whose answers go on with a byte now and then.

#ifndef TESTS_ADAPTER_TRICKLING_TARGET_H_
#define TESTS_ADAPTER_TRICKLING_TARGET_H_

#include <boost/asio.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <utility>

namespace turmericwinch {

// Reads one request from each connection, sends `start` and then a byte every
// kInterval until the peer closes the connection.
class TricklingTarget {
 public:
  static constexpr std::chrono::milliseconds kInterval{20};

  TricklingTarget(boost::asio::io_context& context, std::string start)
      : acceptor_(context, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        start_(std::make_shared<const std::string>(std::move(start))) {
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
                            Serve(std::move(socket), start_),
                            boost::asio::detached);
      Accept();
    });
  }

  static boost::asio::awaitable<void> Serve(
      Socket socket,
      std::shared_ptr<const std::string> start) {
    constexpr auto kAwait = boost::asio::as_tuple(boost::asio::use_awaitable);
    std::string request;
    co_await boost::asio::async_read_until(
        socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", kAwait);
    auto [start_ec, n] = co_await boost::asio::async_write(
        socket, boost::asio::buffer(*start), kAwait);
    boost::system::error_code ec = start_ec;
    boost::asio::steady_timer timer(socket.get_executor());
    while (!ec) {
      timer.expires_after(kInterval);
      co_await timer.async_wait(kAwait);
      auto [write_ec, written] = co_await boost::asio::async_write(
          socket, boost::asio::buffer("x", 1), kAwait);
      ec = write_ec;
    }
  }

  boost::asio::ip::tcp::acceptor acceptor_;
  std::shared_ptr<const std::string> start_;
};

}  // namespace turmericwinch

#endif  // TESTS_ADAPTER_TRICKLING_TARGET_H_
