#include "libs/http/http_cancel.h"

#include <chrono>
#include <utility>

#include "libs/http/socket_deadline.h"

namespace turmericwinch {

void HttpCancel::Cancel() {
  cancelled_ = true;
  if (deadline_)
    deadline_->ExpiresAfter(std::chrono::milliseconds(0));
  if (wake_)
    wake_();
}

void HttpCancel::SetWaiter(std::function<void()> wake) {
  wake_ = std::move(wake);
  if (wake_ && cancelled_)
    wake_();
}

void HttpCancel::Attach(SocketDeadline* deadline) {
  deadline_ = deadline;
  if (deadline_ && cancelled_)
    deadline_->ExpiresAfter(std::chrono::milliseconds(0));
}

}  // namespace turmericwinch
