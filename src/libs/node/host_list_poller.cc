#include "libs/node/host_list_poller.h"

#include <boost/asio.hpp>

#include "libs/base/log.h"
#include "libs/node/node_constants.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;

constexpr LogCategory kLog{"node"};

}  // namespace

HostListPoller::HostListPoller(PlatformClient& platform,
                               std::function<void(const HostList&)> on_list)
    : platform_(platform), on_list_(std::move(on_list)) {}

asio::awaitable<void> HostListPoller::Run() {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  for (;;) {
    Reason reason;
    std::optional<std::string> text = co_await platform_.Hosts(&reason);
    std::optional<HostList> list;
    if (text)
      list = HostListOf(*text, &reason);
    if (list) {
      list_ = std::move(*list);
      on_list_(list_);
    } else {
      LogEvent(
          kLog, Severity::kWarning, "host_list_unavailable",
          {{"code", static_cast<int>(reason.code)}, {"reason", reason.text}});
    }
    timer.expires_after(kHostListInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

}  // namespace turmericwinch
