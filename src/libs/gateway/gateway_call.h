// What a request asks for, once its dialect was decoded.

#ifndef SRC_LIBS_GATEWAY_GATEWAY_CALL_H_
#define SRC_LIBS_GATEWAY_GATEWAY_CALL_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace turmericwinch {

// Bounds of a generation, in tokens.
struct TokenBound {
  std::int64_t prompt = 0;
  std::int64_t most_output = 0;

  std::int64_t Sum() const { return prompt + most_output; }
};

// A part of a prompt. Equal ids in equal places stand for equal text, which a
// target may keep from an earlier request.
struct PromptPart {
  std::uint64_t id = 0;
  std::int64_t tokens = 0;
};

// `id` names this attempt of the caller. `key` is the caller's secret, empty if
// it sent none. `time_left` is how long the caller waits from the arrival on.
// `after_event` is set when the caller goes on with a broken stream.
struct GatewayCall {
  std::string id;
  std::string host;
  std::string path;
  std::string key;
  std::optional<TokenBound> tokens;
  std::vector<PromptPart> parts;
  std::optional<std::chrono::milliseconds> time_left;
  std::optional<std::uint64_t> after_event;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_GATEWAY_CALL_H_
