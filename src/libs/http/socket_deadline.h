// Applies a deadline to operations on a socket.

#ifndef SRC_LIBS_HTTP_SOCKET_DEADLINE_H_
#define SRC_LIBS_HTTP_SOCKET_DEADLINE_H_

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <memory>

namespace turmericwinch {

// Cancels the pending operations of a socket when the deadline passes. The
// socket stays open, so that an error response can still be sent. One timer
// serves all operations; a later deadline is applied only when the timer fires,
// so setting a deadline is cheap. Used on the socket's thread; must be
// destroyed before the socket.
class SocketDeadline {
 public:
  explicit SocketDeadline(boost::asio::ip::tcp::socket& socket);
  ~SocketDeadline();

  void ExpiresAfter(std::chrono::milliseconds time);
  void ExpiresNever();
  // Whether operations have been cancelled since the deadline was last set.
  bool expired() const;

 private:
  class Private;
  std::shared_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_HTTP_SOCKET_DEADLINE_H_
