// Checks whether a process still listens at an address.

#ifndef SRC_LIBS_GATEWAY_CONNECT_PROBE_H_
#define SRC_LIBS_GATEWAY_CONNECT_PROBE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace turmericwinch {

// Returns whether a connection to `endpoint` is refused, as no process listens
// there. False if it is accepted, or if nothing answers within
// kGatewayTargetConnectTimeout.
boost::asio::awaitable<bool> IsConnectionRefused(
    boost::asio::ip::tcp::endpoint endpoint);

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_CONNECT_PROBE_H_
