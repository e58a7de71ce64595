// The properties of a chat request by which its target is selected.

#ifndef SRC_LIBS_NODE_CHAT_ROUTING_REQUEST_H_
#define SRC_LIBS_NODE_CHAT_ROUTING_REQUEST_H_

#include <string>

#include "libs/node/chat_request.h"
#include "libs/routing/target_table.h"

namespace turmericwinch {

// The prefix that other requests may share consists of all messages but the
// last, or of the first bytes of a single long message. Short prompts have no
// prefix.
RoutingRequest MakeChatRoutingRequest(const std::string& service,
                                      const ChatRequest& request);

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_CHAT_ROUTING_REQUEST_H_
