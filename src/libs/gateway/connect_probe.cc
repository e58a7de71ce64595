#include "libs/gateway/connect_probe.h"

#include <boost/asio.hpp>
#include <memory>

#include "libs/gateway/gateway_constants.h"

namespace turmericwinch {

namespace asio = boost::asio;

asio::awaitable<bool> IsConnectionRefused(asio::ip::tcp::endpoint endpoint) {
  const auto executor = co_await asio::this_coro::executor;
  auto socket = std::make_shared<asio::ip::tcp::socket>(executor);
  asio::steady_timer timer(executor, kGatewayTargetConnectTimeout);
  timer.async_wait([socket](const boost::system::error_code& ec) {
    boost::system::error_code ignored;
    if (!ec)
      socket->close(ignored);
  });
  auto [ec] = co_await socket->async_connect(
      endpoint, asio::as_tuple(asio::use_awaitable));
  timer.cancel();
  co_return ec == asio::error::connection_refused;
}

}  // namespace turmericwinch
