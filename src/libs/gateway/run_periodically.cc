#include "libs/gateway/run_periodically.h"

#include <boost/asio.hpp>

namespace turmericwinch {

boost::asio::awaitable<void> RunPeriodically(boost::asio::io_context& context,
                                             std::chrono::milliseconds interval,
                                             std::function<void()> action) {
  boost::asio::steady_timer timer(context);
  for (;;) {
    timer.expires_after(interval);
    co_await timer.async_wait(
        boost::asio::as_tuple(boost::asio::use_awaitable));
    action();
  }
}

}  // namespace turmericwinch
