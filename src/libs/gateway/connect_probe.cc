#include "libs/gateway/connect_probe.h"

#include <boost/asio.hpp>

#include "libs/gateway/gateway_constants.h"
#include "libs/http/socket_deadline.h"

namespace turmericwinch {

namespace asio = boost::asio;

asio::awaitable<bool> IsConnectionRefused(asio::ip::tcp::endpoint endpoint) {
  asio::ip::tcp::socket socket(co_await asio::this_coro::executor);
  SocketDeadline deadline(socket);
  deadline.ExpiresAfter(kGatewayTargetConnectTimeout);
  auto [ec] = co_await socket.async_connect(
      endpoint, asio::as_tuple(asio::use_awaitable));
  co_return ec == asio::error::connection_refused;
}

}  // namespace turmericwinch
