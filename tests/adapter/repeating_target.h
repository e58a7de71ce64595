// A target that repeats its first response before the second one.

#ifndef TESTS_ADAPTER_REPEATING_TARGET_H_
#define TESTS_ADAPTER_REPEATING_TARGET_H_

#include <boost/asio.hpp>
#include <string>

namespace turmericwinch {

// Refuses the first request of each connection, keeps the connection, and
// answers the second request with that refusal once more and then its answer.
class RepeatingTarget {
 public:
  explicit RepeatingTarget(boost::asio::io_context& context)
      : acceptor_(context, {boost::asio::ip::make_address("127.0.0.1"), 0}) {
    boost::asio::co_spawn(context, Accept(), boost::asio::detached);
  }

  boost::asio::ip::tcp::endpoint endpoint() const {
    return acceptor_.local_endpoint();
  }
  int requests() const { return requests_; }

 private:
  static std::string ResponseTo(const std::string& request,
                                const std::string& status,
                                const std::string& extra) {
    constexpr char kIdHeader[] = "Turmericwinch-Attempt-Id: ";
    const std::size_t start = request.rfind(kIdHeader) + sizeof(kIdHeader) - 1;
    const std::string id =
        request.substr(start, request.find("\r\n", start) - start);
    return "HTTP/1.1 " + status + "\r\n" + kIdHeader + id + "\r\n" + extra +
           "\r\nContent-Length: 5\r\n\r\nwhole";
  }

  boost::asio::awaitable<void> Accept() {
    for (;;) {
      boost::asio::ip::tcp::socket socket =
          co_await acceptor_.async_accept(boost::asio::use_awaitable);
      const std::string first = co_await ReadRequest(socket);
      const std::string refusal =
          ResponseTo(first, "503 Busy", "Turmericwinch-Not-Executed: 1");
      co_await Send(socket, refusal);
      const std::string second = co_await ReadRequest(socket);
      const std::string answer =
          ResponseTo(second, "200 OK", "Turmericwinch-Response-Signature: mac");
      co_await Send(socket, refusal + answer);
    }
  }

  boost::asio::awaitable<std::string> ReadRequest(
      boost::asio::ip::tcp::socket& socket) {
    std::string request;
    const std::string end = "\r\n\r\nquestion";
    co_await boost::asio::async_read_until(socket,
                                           boost::asio::dynamic_buffer(request),
                                           end, boost::asio::use_awaitable);
    ++requests_;
    co_return request;
  }

  boost::asio::awaitable<void> Send(boost::asio::ip::tcp::socket& socket,
                                    std::string bytes) {
    co_await boost::asio::async_write(socket, boost::asio::buffer(bytes),
                                      boost::asio::use_awaitable);
  }

  boost::asio::ip::tcp::acceptor acceptor_;
  int requests_ = 0;
};

}  // namespace turmericwinch

#endif  // TESTS_ADAPTER_REPEATING_TARGET_H_
