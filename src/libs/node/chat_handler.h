// Handles chat completion requests, which are sent to model engines.

#ifndef SRC_LIBS_NODE_CHAT_HANDLER_H_
#define SRC_LIBS_NODE_CHAT_HANDLER_H_

#include <boost/asio/awaitable.hpp>

#include "libs/http/http_message.h"
#include "libs/http/http_server.h"
#include "libs/node/admission.h"

namespace turmericwinch {

struct NodeContext;

// Handles POST /v1/chat/completions of an authenticated caller. Returns the
// result to be counted and logged. Runs on a traffic thread.
boost::asio::awaitable<ResultCode> HandleChat(NodeContext& node,
                                              const Caller& caller,
                                              const HttpRequest& request,
                                              HttpExchange& exchange);

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_CHAT_HANDLER_H_
