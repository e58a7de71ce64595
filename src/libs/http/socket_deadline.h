// Bounds the time of operations on a socket.

#ifndef SRC_LIBS_HTTP_SOCKET_DEADLINE_H_
#define SRC_LIBS_HTTP_SOCKET_DEADLINE_H_

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <memory>

namespace turmericwinch {

// Cancels the operations under way on a socket once the deadline is over; the
// socket stays open, so that a caller can still be told. One timer serves all
// operations and is moved only when it fires, so setting a deadline is cheap.
// Used on the socket's thread; ends before the socket.
class SocketDeadline {
 public:
  explicit SocketDeadline(boost::asio::ip::tcp::socket& socket);
  ~SocketDeadline();

  void ExpiresAfter(std::chrono::milliseconds time);
  void ExpiresNever();
  // Whether operations were cancelled since the deadline was last set.
  bool expired() const;

 private:
  class Private;
  std::shared_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_HTTP_SOCKET_DEADLINE_H_
