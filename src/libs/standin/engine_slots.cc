#include "libs/standin/engine_slots.h"

#include <boost/asio.hpp>

namespace turmericwinch {

namespace asio = boost::asio;

asio::awaitable<void> EngineSlots::Enter() {
  if (slots_ == 0 || running_ < slots_) {
    ++running_;
    co_return;
  }
  auto timer = std::make_shared<asio::steady_timer>(
      co_await asio::this_coro::executor,
      asio::steady_timer::time_point::max());
  waiting_.push_back(timer);
  co_await timer->async_wait(asio::as_tuple(asio::use_awaitable));
}

// The place goes to the first that waits.
void EngineSlots::Leave() {
  if (waiting_.empty()) {
    --running_;
    return;
  }
  waiting_.front()->cancel();
  waiting_.pop_front();
}

}  // namespace turmericwinch
