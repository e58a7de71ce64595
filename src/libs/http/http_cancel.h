// Cancels an HttpClient call from outside the coroutine that makes it.

#ifndef SRC_LIBS_HTTP_HTTP_CANCEL_H_
#define SRC_LIBS_HTTP_HTTP_CANCEL_H_

#include <functional>

namespace turmericwinch {

class SocketDeadline;

// Shared by the code that may cancel a call and the call itself. Used only from
// the client's thread; must outlive the call.
class HttpCancel {
 public:
  // Fails the current operation and all later ones immediately.
  void Cancel();
  bool cancelled() const { return cancelled_; }

  // Called by the client with the deadline of the connection that the call
  // uses now; null if it uses none.
  void Attach(SocketDeadline* deadline);

  // Calls `wake` when Cancel() is called, so that a wait that is no call ends
  // too; at once if it was called before. An empty function removes it.
  void SetWaiter(std::function<void()> wake);

 private:
  SocketDeadline* deadline_ = nullptr;
  std::function<void()> wake_;
  bool cancelled_ = false;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_HTTP_HTTP_CANCEL_H_
