// A store whose open connections go silent.

#ifndef TESTS_ADAPTER_SILENCED_STORE_H_
#define TESTS_ADAPTER_SILENCED_STORE_H_

#include <boost/asio.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <utility>

namespace turmericwinch {

// Answers each request with the same body, once `connections` are open.
class SilencedStore {
 public:
  SilencedStore(boost::asio::io_context& context,
                const std::string& body,
                int connections)
      : acceptor_(context, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        state_(std::make_shared<State>()) {
    state_->awaited = connections;
    state_->response =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
        "\r\n\r\n" + body;
    Accept();
  }

  // From now on the connections that are open stay open without a response.
  // Later ones are answered.
  void SilenceOpenConnections() { state_->silenced = state_->connections; }
  int connections() const { return state_->connections; }
  boost::asio::ip::tcp::endpoint endpoint() const {
    return acceptor_.local_endpoint();
  }

 private:
  using Socket = boost::asio::ip::tcp::socket;

  static constexpr std::chrono::milliseconds kPollInterval{1};

  struct State {
    std::string response;
    int awaited = 0;
    int connections = 0;
    int silenced = 0;
  };

  void Accept() {
    acceptor_.async_accept([this](boost::system::error_code ec, Socket socket) {
      if (ec)
        return;
      boost::asio::co_spawn(
          acceptor_.get_executor(),
          Serve(std::move(socket), state_, ++state_->connections),
          boost::asio::detached);
      Accept();
    });
  }

  static boost::asio::awaitable<void> Serve(Socket socket,
                                            std::shared_ptr<State> state,
                                            int number) {
    constexpr auto kAwait = boost::asio::as_tuple(boost::asio::use_awaitable);
    boost::asio::steady_timer timer(socket.get_executor());
    for (;;) {
      std::string request;
      auto [ec, n] = co_await boost::asio::async_read_until(
          socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", kAwait);
      if (ec)
        co_return;
      if (number <= state->silenced)
        continue;
      while (state->connections < state->awaited) {
        timer.expires_after(kPollInterval);
        co_await timer.async_wait(kAwait);
      }
      co_await boost::asio::async_write(
          socket, boost::asio::buffer(state->response), kAwait);
    }
  }

  boost::asio::ip::tcp::acceptor acceptor_;
  std::shared_ptr<State> state_;
};

}  // namespace turmericwinch

#endif  // TESTS_ADAPTER_SILENCED_STORE_H_
