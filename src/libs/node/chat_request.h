// A chat completion request, parsed from the body that a caller sent.

#ifndef SRC_LIBS_NODE_CHAT_REQUEST_H_
#define SRC_LIBS_NODE_CHAT_REQUEST_H_

#include <boost/json/object.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "libs/base/reason.h"

namespace turmericwinch {

// `prompt_bound` is an upper bound of the prompt's tokens, derived from its
// size, as a token is at least one byte. `max_tokens` is 0 if the caller sent
// none.
struct ChatRequest {
  std::string model;
  bool stream = false;
  std::int64_t max_tokens = 0;
  std::int64_t prompt_bound = 0;
  boost::json::object body;
};

// Parses and validates a body.
std::optional<ChatRequest> ParseChatRequest(std::string_view body,
                                            Reason* reason);

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_CHAT_REQUEST_H_
