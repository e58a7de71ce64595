// The operators' listener: health, readiness, metrics and the state dump.

#ifndef SRC_LIBS_NODE_OPERATOR_HANDLER_H_
#define SRC_LIBS_NODE_OPERATOR_HANDLER_H_

#include "libs/http/http_server.h"

namespace turmericwinch {

struct NodeContext;

// Handler for the operators' listener; `node` outlives it. /healthz and /readyz
// need no token; all other paths need the operators' token.
HttpHandler MakeOperatorHandler(NodeContext& node);

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_OPERATOR_HANDLER_H_
