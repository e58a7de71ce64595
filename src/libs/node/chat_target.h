// Requests to model engines.

#ifndef SRC_LIBS_NODE_CHAT_TARGET_H_
#define SRC_LIBS_NODE_CHAT_TARGET_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json/object.hpp>
#include <optional>
#include <string>

#include "libs/delivery/chat_progress.h"
#include "libs/http/http_client.h"
#include "libs/node/admission.h"

namespace turmericwinch {

// Returns the request for the attempt that `progress` has started. It asks for
// the answer from its beginning, or from the last token that the caller
// received.
HttpRequest MakeChatTargetRequest(const Caller& caller,
                                  boost::json::object body,
                                  const ChatProgress& progress);

// Cancels the attempt `id` at its engine and returns the engine's response.
boost::asio::awaitable<std::optional<HttpResponse>> CancelChat(
    HttpClient& client,
    boost::asio::ip::tcp::endpoint endpoint,
    std::string id);

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_CHAT_TARGET_H_
