// Ends a call of the client from outside the coroutine that makes it.

#ifndef SRC_LIBS_HTTP_HTTP_CANCEL_H_
#define SRC_LIBS_HTTP_HTTP_CANCEL_H_

namespace turmericwinch {

class SocketDeadline;

// Shared by a caller's watcher and the call made for that caller. Used only
// from the client's thread; outlives the call.
class HttpCancel {
 public:
  // Ends the operation under way and all later ones at once.
  void Cancel();
  bool cancelled() const { return cancelled_; }

  // For the client: the connection that the call uses now; null for none.
  void Attach(SocketDeadline* deadline);

 private:
  SocketDeadline* deadline_ = nullptr;
  bool cancelled_ = false;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_HTTP_HTTP_CANCEL_H_
