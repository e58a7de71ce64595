// Handles one request from its arrival to its response.

#ifndef SRC_LIBS_GATEWAY_GATEWAY_CALL_RUNNER_H_
#define SRC_LIBS_GATEWAY_GATEWAY_CALL_RUNNER_H_

#include <boost/asio/awaitable.hpp>

#include "libs/gateway/gateway_context.h"
#include "libs/http/http_message.h"
#include "libs/http/http_server.h"

namespace turmericwinch {

// Checks `request`, reserves its tokens, chooses targets, relays the response
// and settles the tokens. Always sends a response or closes the connection.
// Called on the traffic thread.
boost::asio::awaitable<void> RunGatewayCall(GatewayContext& context,
                                            const HttpRequest& request,
                                            HttpExchange& exchange);

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_GATEWAY_CALL_RUNNER_H_
