#include "libs/node/chat_routing_request.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include "libs/base/digest.h"
#include "libs/base/json_fields.h"

namespace turmericwinch {

namespace {

namespace json = boost::json;

// Bytes that a token has on average, and the shortest prefix worth a detour.
constexpr std::int64_t kBytesPerToken = 4;
constexpr std::size_t kLeastPrefixBytes = 4'096;

// The text that other requests may share.
std::string SharedText(const json::array& messages) {
  if (messages.size() == 1) {
    std::string text = json::serialize(messages.front());
    text.resize(std::min(text.size(), kLeastPrefixBytes));
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
  RoutingRequest wish;
  wish.service = service;
  wish.prompt_tokens = request.prompt_bound / kBytesPerToken;
  if (request.prompt_bound < static_cast<std::int64_t>(kLeastPrefixBytes))
    return wish;
  const json::array* messages = ArrayField(request.body, "messages");
  const std::string shared = messages ? SharedText(*messages) : "";
  if (shared.size() < kLeastPrefixBytes)
    return wish;
  wish.prefix = Hash64(shared);
  // The JSON around the content counts in `shared` only.
  wish.prefix_tokens =
      std::min(static_cast<std::int64_t>(shared.size()) / kBytesPerToken,
               wish.prompt_tokens);
  return wish;
}

}  // namespace turmericwinch
