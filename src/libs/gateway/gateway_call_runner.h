// Takes one request from its arrival to its answer.

#ifndef SRC_LIBS_GATEWAY_GATEWAY_CALL_RUNNER_H_
#define SRC_LIBS_GATEWAY_GATEWAY_CALL_RUNNER_H_

#include <boost/asio/awaitable.hpp>

#include "libs/gateway/gateway_context.h"
#include "libs/http/http_message.h"
#include "libs/http/http_server.h"

namespace turmericwinch {

// Admits, reserves, places, sends, relays and settles `request`; always answers
// or closes the connection. On the traffic thread.
boost::asio::awaitable<void> RunGatewayCall(GatewayContext& context,
                                            const HttpRequest& request,
                                            HttpExchange& exchange);

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_GATEWAY_CALL_RUNNER_H_
