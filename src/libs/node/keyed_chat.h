// Chat completions with an Idempotency-Key: one run, bill and answer per key.

#ifndef SRC_LIBS_NODE_KEYED_CHAT_H_
#define SRC_LIBS_NODE_KEYED_CHAT_H_

#include <boost/asio/awaitable.hpp>
#include <string>

#include "libs/http/http_message.h"
#include "libs/http/http_server.h"
#include "libs/node/admission.h"
#include "libs/node/chat_request.h"

namespace turmericwinch {

struct NodeContext;

// Claims and runs `chat`, or sends the answer of an earlier request with the
// same `key`. An answer that is still being generated is relayed only if it is
// generated on this host. Runs on a traffic thread.
boost::asio::awaitable<ResultCode> HandleKeyedChat(NodeContext& node,
                                                   const Caller& caller,
                                                   const ServiceConfig& service,
                                                   const HttpRequest& request,
                                                   ChatRequest chat,
                                                   std::string key,
                                                   HttpExchange& exchange);

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_KEYED_CHAT_H_
