// How requests, answers and refusals are spelled on the wire.

#ifndef SRC_LIBS_GATEWAY_GATEWAY_DIALECT_H_
#define SRC_LIBS_GATEWAY_GATEWAY_DIALECT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "libs/base/reason.h"
#include "libs/gateway/gateway_call.h"
#include "libs/http/http_message.h"

namespace turmericwinch {

// What a target is told beside the caller's request.
struct TargetOrder {
  std::string target;
  // Empty for a public route.
  std::string team;
  std::chrono::milliseconds time_left{0};
  int rank = 0;
  std::optional<std::uint64_t> after_event;
};

// What the head of a target's response says of the run.
enum class HeadVerdict {
  // The target's own answer to this request.
  kAnswer,
  // It did not run the request.
  kNotRun,
  // Another target has the address now; it did not run the request.
  kOtherTarget,
  // No answer of a target to this request; it may have run.
  kForeign,
};

// Load that a target tells with its answers.
struct ToldLoad {
  std::int64_t running = 0;
  std::int64_t waiting = 0;
  std::int64_t slots = 0;
};

// Pure functions, called from traffic threads.
struct GatewayDialect {
  // Nothing for a request that the dialect does not allow.
  std::function<std::optional<GatewayCall>(const HttpRequest&, Reason*)> decode;
  // The request for a target.
  std::function<HttpRequest(const HttpRequest&, const TargetOrder&)> encode;
  // Whether a response's head belongs to the call `id`.
  std::function<bool(const HttpHeaders&, const std::string& id)> is_mine;
  std::function<HeadVerdict(int status, const HttpHeaders&)> judge;
  std::function<std::optional<ToldLoad>(const HttpHeaders&)> load;
  // The headers of an answer that the caller gets.
  std::function<HttpHeaders(const HttpHeaders&)> answer_headers;
  // The refusal of a request. `ran` is false only if no target runs it, now or
  // later. `retry_after` is 0 if the caller need not come back.
  std::function<HttpResponse(const GatewayCall*,
                             const Reason&,
                             bool may_have_run,
                             std::chrono::milliseconds retry_after)>
      refuse;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_GATEWAY_DIALECT_H_
