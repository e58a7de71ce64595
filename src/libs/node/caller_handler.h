// Entry point for callers' requests.

#ifndef SRC_LIBS_NODE_CALLER_HANDLER_H_
#define SRC_LIBS_NODE_CALLER_HANDLER_H_

#include "libs/http/http_server.h"

namespace turmericwinch {

struct NodeContext;

// Returns the handler for the callers' listener. `node` must outlive it.
HttpHandler MakeCallerHandler(NodeContext& node);

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_CALLER_HANDLER_H_
