#include "libs/node/chat_request.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include "libs/base/json_fields.h"
#include "libs/node/node_constants.h"

namespace turmericwinch {

namespace {

namespace json = boost::json;

// Returns the size of a message's content in bytes; no value if the message has
// no content.
std::optional<std::int64_t> ContentBytes(const json::value& message) {
  const json::object* object = message.if_object();
  const json::value* content =
      object ? object->if_contains("content") : nullptr;
  if (!content)
    return std::nullopt;
  if (content->is_string())
    return static_cast<std::int64_t>(content->get_string().size());
  return static_cast<std::int64_t>(json::serialize(*content).size());
}

}  // namespace

std::optional<ChatRequest> ParseChatRequest(std::string_view body,
                                            Reason* reason) {
  std::optional<json::value> value = ParseJson(body);
  const json::object* object = value ? value->if_object() : nullptr;
  if (!object) {
    return Fail(reason, ResultCode::kBadRequest,
                "the body is not a JSON object");
  }
  ChatRequest request;
  request.model = StringField(*object, "model").value_or("");
  if (request.model.empty()) {
    return Fail(reason, ResultCode::kBadRequest,
                "the body has no model name in 'model'");
  }
  const json::array* messages = ArrayField(*object, "messages");
  if (!messages || messages->empty()) {
    return Fail(reason, ResultCode::kBadRequest,
                "the body has no messages in 'messages'");
  }
  for (const json::value& it : *messages) {
    std::optional<std::int64_t> bytes = ContentBytes(it);
    if (!bytes) {
      return Fail(reason, ResultCode::kBadRequest,
                  "a message has no 'content'");
    }
    request.prompt_bound += *bytes + kTokensPerMessage;
  }
  if (object->contains("max_tokens")) {
    request.max_tokens = IntField(*object, "max_tokens").value_or(0);
    if (request.max_tokens <= 0) {
      return Fail(reason, ResultCode::kBadRequest,
                  "'max_tokens' is not a positive integer");
    }
  }
  request.stream = BoolField(*object, "stream").value_or(false);
  request.body = *object;
  return request;
}

}  // namespace turmericwinch
