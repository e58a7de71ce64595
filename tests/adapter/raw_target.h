// A target that answers each connection with the same bytes.

#ifndef TESTS_ADAPTER_RAW_TARGET_H_
#define TESTS_ADAPTER_RAW_TARGET_H_

#include <boost/asio.hpp>
#include <string>

namespace turmericwinch {

// How the target ends a connection after its bytes.
enum class ConnectionEnd { kClose, kReset };

// Reads one request from each connection, sends `bytes` and ends the
// connection.
class RawTarget {
 public:
  RawTarget(boost::asio::io_context& context,
            std::string bytes,
            ConnectionEnd end)
      : bytes_(std::move(bytes)),
        end_(end),
        acceptor_(context, {boost::asio::ip::make_address("127.0.0.1"), 0}) {
    boost::asio::co_spawn(context, Accept(), boost::asio::detached);
  }

  boost::asio::ip::tcp::endpoint endpoint() const {
    return acceptor_.local_endpoint();
  }

 private:
  boost::asio::awaitable<void> Accept() {
    for (;;) {
      boost::asio::ip::tcp::socket socket =
          co_await acceptor_.async_accept(boost::asio::use_awaitable);
      std::string request;
      co_await boost::asio::async_read_until(
          socket, boost::asio::dynamic_buffer(request), "\r\n\r\n",
          boost::asio::use_awaitable);
      co_await boost::asio::async_write(socket, boost::asio::buffer(bytes_),
                                        boost::asio::use_awaitable);
      // Closing without lingering resets the connection.
      if (end_ == ConnectionEnd::kReset)
        socket.set_option(boost::asio::socket_base::linger(true, 0));
      socket.close();
    }
  }

  std::string bytes_;
  ConnectionEnd end_;
  boost::asio::ip::tcp::acceptor acceptor_;
};

}  // namespace turmericwinch

#endif  // TESTS_ADAPTER_RAW_TARGET_H_
