// A target that serves each connection by a function.

#ifndef TESTS_ADAPTER_CONNECTION_TARGET_H_
#define TESTS_ADAPTER_CONNECTION_TARGET_H_

#include <boost/asio.hpp>
#include <functional>
#include <optional>
#include <utility>

namespace turmericwinch {

class ConnectionTarget {
 public:
  using Socket = boost::asio::ip::tcp::socket;
  // May outlive the target, so it owns what it uses.
  using Server = std::function<boost::asio::awaitable<void>(Socket)>;

  // `receive_buffer_bytes` is that of the sockets; nullopt for the default.
  ConnectionTarget(boost::asio::io_context& context,
                   Server serve,
                   std::optional<int> receive_buffer_bytes = std::nullopt)
      : serve_(std::move(serve)), acceptor_(context) {
    acceptor_.open(boost::asio::ip::tcp::v4());
    if (receive_buffer_bytes) {
      acceptor_.set_option(
          boost::asio::socket_base::receive_buffer_size(*receive_buffer_bytes));
    }
    acceptor_.bind({boost::asio::ip::make_address("127.0.0.1"), 0});
    acceptor_.listen();
    Accept();
  }

  boost::asio::ip::tcp::endpoint endpoint() const {
    return acceptor_.local_endpoint();
  }
  // Number of connections that the target has accepted.
  int requests() const { return requests_; }

 private:
  void Accept() {
    acceptor_.async_accept([this](boost::system::error_code ec, Socket socket) {
      if (ec)
        return;
      ++requests_;
      boost::asio::co_spawn(acceptor_.get_executor(), serve_(std::move(socket)),
                            boost::asio::detached);
      Accept();
    });
  }

  Server serve_;
  int requests_ = 0;
  boost::asio::ip::tcp::acceptor acceptor_;
};

}  // namespace turmericwinch

#endif  // TESTS_ADAPTER_CONNECTION_TARGET_H_
