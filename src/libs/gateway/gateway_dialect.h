// The wire format of requests, responses and refusals.

#ifndef SRC_LIBS_GATEWAY_GATEWAY_DIALECT_H_
#define SRC_LIBS_GATEWAY_GATEWAY_DIALECT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "libs/base/reason.h"
#include "libs/gateway/event_id.h"
#include "libs/gateway/gateway_call.h"
#include "libs/http/http_message.h"
#include "libs/routing/reported_load.h"
#include "libs/routing/target_notice.h"

namespace turmericwinch {

// What the gateway sends a target in addition to the caller's request.
struct RequestMetadata {
  std::string target;
  // Empty for a public route.
  std::string team;
  std::chrono::milliseconds time_left{0};
  // Priority in the target's queue; 0 is served first.
  int priority = 0;
  // Event after which the target has to begin, if a stream is resumed.
  std::optional<EventId> after_event;
};

// What the status and headers of a response say about the request.
enum class HeadVerdict {
  // The target's response to this request.
  kAnswer,
  // The target did not run the request.
  kNotRun,
  // Another target has the address now. It did not run the request.
  kOtherTarget,
  // Not verifiably a target's response to this request. The request may have
  // run.
  kUnverified,
};

// What the load header of a response says. `is_invalid` is whether the header,
// or its speed alone, is not valid; `load` then lacks what is not.
struct LoadHeader {
  std::optional<ReportedLoad> load;
  bool is_invalid = false;
};

// Pure functions, called on traffic threads.
struct GatewayDialect {
  // Decodes a caller's request; nullopt if the dialect does not allow it.
  std::function<std::optional<GatewayCall>(const HttpRequest&, Reason*)>
      decode_request;
  // Encodes the request that is sent to a target.
  std::function<HttpRequest(const HttpRequest&, const RequestMetadata&)>
      encode_request;
  // Whether a response with these headers belongs to the call `id`.
  std::function<bool(const HttpHeaders&, const std::string& id)>
      belongs_to_call;
  std::function<HeadVerdict(int status, const HttpHeaders&)> classify_head;
  std::function<LoadHeader(const HttpHeaders&)> parse_load;
  // Requests per second that the target takes from all hosts together, if its
  // response names a limit.
  std::function<std::optional<double>(const HttpHeaders&)> parse_rate_limit;
  // What the target says of itself in a response.
  std::function<TargetNotice(int status, const HttpHeaders&)> parse_notice;
  // Selects the headers of a target's response that the caller gets.
  std::function<HttpHeaders(const HttpHeaders&)> caller_headers;
  // Makes the response to a refused request. `may_have_run` is false only if no
  // target runs the request, now or later. `retry_after` is 0 if the caller is
  // not asked to retry.
  std::function<HttpResponse(const GatewayCall*,
                             const Reason&,
                             bool may_have_run,
                             std::chrono::milliseconds retry_after)>
      make_refusal;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_GATEWAY_DIALECT_H_
