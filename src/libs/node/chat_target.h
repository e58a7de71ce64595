// What a model engine is asked for.

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

// The request for the attempt that `progress` has started: from the beginning,
// or from the last token that the caller got.
HttpRequest MakeChatTargetRequest(const Caller& caller,
                                  boost::json::object body,
                                  const ChatProgress& progress);

// Ends the attempt `id` at its engine; answers what the engine said.
boost::asio::awaitable<std::optional<HttpResponse>> CancelChat(
    HttpClient& client,
    boost::asio::ip::tcp::endpoint endpoint,
    std::string id);

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_CHAT_TARGET_H_
