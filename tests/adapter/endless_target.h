// A target whose answer has no end.

#ifndef TESTS_ADAPTER_ENDLESS_TARGET_H_
#define TESTS_ADAPTER_ENDLESS_TARGET_H_

#include <boost/asio.hpp>
#include <memory>
#include <string>
#include <utility>

namespace turmericwinch {

// Accepts one connection after another. Reads some bytes of a request, sends
// `start` once and then `piece` until the peer closes the connection or
// kMaxSentBytes have been sent.
class EndlessTarget {
 public:
  static constexpr std::size_t kMaxSentBytes = 64 * 1024 * 1024;

  EndlessTarget(boost::asio::io_context& context,
                std::string start,
                const std::string& piece)
      : state_(std::make_shared<State>(context, std::move(start))) {
    constexpr std::size_t kWriteBytes = 64 * 1024;
    while (state_->pieces.size() < kWriteBytes)
      state_->pieces += piece;
    boost::asio::co_spawn(context, Run(state_), boost::asio::detached);
  }
  ~EndlessTarget() {
    boost::system::error_code ignored;
    state_->acceptor.close(ignored);
    state_->socket.close(ignored);
  }

  boost::asio::ip::tcp::endpoint endpoint() const {
    return state_->acceptor.local_endpoint();
  }
  std::size_t sent_bytes() const { return state_->sent_bytes; }

 private:
  // Outlives the target until its coroutine has ended.
  struct State {
    State(boost::asio::io_context& context, std::string start)
        : acceptor(context, {boost::asio::ip::make_address("127.0.0.1"), 0}),
          socket(context),
          start(std::move(start)) {}

    boost::asio::ip::tcp::acceptor acceptor;
    boost::asio::ip::tcp::socket socket;
    std::string start;
    std::string pieces;
    std::size_t sent_bytes = 0;
  };

  static boost::asio::awaitable<void> Run(std::shared_ptr<State> state) {
    constexpr auto kAwait = boost::asio::as_tuple(boost::asio::use_awaitable);
    for (;;) {
      auto [accept_ec] =
          co_await state->acceptor.async_accept(state->socket, kAwait);
      if (accept_ec)
        co_return;
      char buf[4096];
      co_await state->socket.async_read_some(boost::asio::buffer(buf), kAwait);
      auto [ec, n] = co_await boost::asio::async_write(
          state->socket, boost::asio::buffer(state->start), kAwait);
      while (!ec && state->sent_bytes < kMaxSentBytes) {
        auto [write_ec, written] = co_await boost::asio::async_write(
            state->socket, boost::asio::buffer(state->pieces), kAwait);
        ec = write_ec;
        state->sent_bytes += written;
      }
      boost::system::error_code ignored;
      state->socket.close(ignored);
    }
  }

  std::shared_ptr<State> state_;
};

}  // namespace turmericwinch

#endif  // TESTS_ADAPTER_ENDLESS_TARGET_H_
