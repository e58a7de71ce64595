#include "libs/http/socket_deadline.h"

#include <boost/asio/steady_timer.hpp>

namespace turmericwinch {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kCancelRetryInterval{20};
constexpr Clock::time_point kNever = Clock::time_point::max();

}  // namespace

class SocketDeadline::Private
    : public std::enable_shared_from_this<SocketDeadline::Private> {
 public:
  explicit Private(boost::asio::ip::tcp::socket& socket)
      : socket(&socket), timer(socket.get_executor()) {}

  void Arm() {
    armed_for = deadline;
    timer.expires_at(deadline);
    timer.async_wait([d = shared_from_this()](boost::system::error_code ec) {
      if (!ec)
        d->Fire();
    });
  }

  void Fire() {
    armed_for = kNever;
    if (!socket || deadline == kNever)
      return;
    if (Clock::now() < deadline) {
      Arm();
      return;
    }
    expired = true;
    boost::system::error_code ignored;
    socket->cancel(ignored);
    // A composed operation may be between two steps and miss this cancel, so
    // cancel again later.
    deadline = Clock::now() + kCancelRetryInterval;
    Arm();
  }

  boost::asio::ip::tcp::socket* socket;
  boost::asio::steady_timer timer;
  Clock::time_point deadline = kNever;
  Clock::time_point armed_for = kNever;
  bool expired = false;
};

SocketDeadline::SocketDeadline(boost::asio::ip::tcp::socket& socket)
    : d_(std::make_shared<Private>(socket)) {}

SocketDeadline::~SocketDeadline() {
  d_->socket = nullptr;
  d_->timer.cancel();
}

void SocketDeadline::ExpiresAfter(std::chrono::milliseconds time) {
  d_->expired = false;
  d_->deadline = Clock::now() + time;
  if (d_->deadline < d_->armed_for)
    d_->Arm();
}

void SocketDeadline::ExpiresNever() {
  d_->expired = false;
  d_->deadline = kNever;
}

bool SocketDeadline::expired() const {
  return d_->expired;
}

}  // namespace turmericwinch
