// A caller's request after the dialect has decoded it.

#ifndef SRC_LIBS_GATEWAY_GATEWAY_CALL_H_
#define SRC_LIBS_GATEWAY_GATEWAY_CALL_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "libs/delivery/target_crash.h"
#include "libs/gateway/event_id.h"

namespace turmericwinch {

// Upper bound of the tokens that a request costs.
struct TokenBound {
  std::int64_t prompt = 0;
  std::int64_t max_output = 0;

  std::int64_t Sum() const { return prompt + max_output; }
};

// A part of a prompt. Two prompts with equal ids at equal positions have equal
// text there, which a target may have cached from an earlier request.
struct PromptPart {
  PromptPartId id = 0;
  std::int64_t tokens = 0;
};

// `id` identifies this attempt of the caller. `api_key` is the caller's secret;
// empty if it sent none. `time_left` is how long the caller still waits,
// counted from the arrival of the request. `after_event` is the last event that
// the caller has received if it resumes a broken stream.
struct GatewayCall {
  std::string id;
  std::string host;
  std::string path;
  std::string api_key;
  std::optional<TokenBound> tokens;
  std::vector<PromptPart> prompt_parts;
  std::optional<std::chrono::milliseconds> time_left;
  std::optional<EventId> after_event;
};

// The parts of the call's prompt that other requests may have too: all but the
// last.
std::span<const PromptPart> SharedParts(const GatewayCall& call);
// Ids of SharedParts().
std::vector<PromptPartId> SharedPartIds(const GatewayCall& call);
// Ids of all parts of the call's prompt.
std::vector<PromptPartId> PartIds(const GatewayCall& call);
// `parts` in hexadecimal, separated by commas, for logs. At most
// kMaxLoggedPromptParts are named.
std::string PartIdsText(const std::vector<PromptPartId>& parts);

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_GATEWAY_CALL_H_
