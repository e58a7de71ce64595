// What the choice of a target has to know of a chat request.

#ifndef SRC_LIBS_NODE_CHAT_ROUTING_REQUEST_H_
#define SRC_LIBS_NODE_CHAT_ROUTING_REQUEST_H_

#include <string>

#include "libs/node/chat_request.h"
#include "libs/routing/target_table.h"

namespace turmericwinch {

// The shared prefix is all messages but the last, or of a single long message
// its first bytes. Short prompts have none.
RoutingRequest MakeChatRoutingRequest(const std::string& service,
                                      const ChatRequest& request);

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_CHAT_ROUTING_REQUEST_H_
