#include "libs/node/chat_routing_request.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include "libs/base/digest.h"
#include "libs/base/json_fields.h"

namespace turmericwinch {

namespace {

namespace json = boost::json;

// Average size of a token, and the minimum prefix size for which a target that
// has the prefix cached is preferred.
constexpr std::int64_t kBytesPerToken = 4;
constexpr std::size_t kMinPrefixBytes = 4'096;

// Returns the text of the prefix that other requests may share.
std::string PrefixText(const json::array& messages) {
  if (messages.size() == 1) {
    std::string text = json::serialize(messages.front());
    text.resize(std::min(text.size(), kMinPrefixBytes));
    return text;
  }
  std::string text;
  for (std::size_t n = 0; n + 1 < messages.size(); ++n)
    text += json::serialize(messages[n]);
  return text;
}

}  // namespace

RoutingRequest MakeChatRoutingRequest(const std::string& service,
                                      const ChatRequest& request) {
  RoutingRequest routing_request;
  routing_request.service = service;
  routing_request.prompt_tokens = request.prompt_bound / kBytesPerToken;
  if (request.prompt_bound < static_cast<std::int64_t>(kMinPrefixBytes))
    return routing_request;
  const json::array* messages = ArrayField(request.body, "messages");
  const std::string prefix_text = messages ? PrefixText(*messages) : "";
  if (prefix_text.size() < kMinPrefixBytes)
    return routing_request;
  routing_request.prefix = Hash64(prefix_text);
  // `prefix_text` includes JSON syntax, which `prompt_tokens` does not count,
  // so the estimate could exceed the whole prompt.
  routing_request.prefix_tokens =
      std::min(static_cast<std::int64_t>(prefix_text.size()) / kBytesPerToken,
               routing_request.prompt_tokens);
  return routing_request;
}

}  // namespace turmericwinch
