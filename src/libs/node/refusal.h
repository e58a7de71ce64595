// Refusals that are sent to callers.

#ifndef SRC_LIBS_NODE_REFUSAL_H_
#define SRC_LIBS_NODE_REFUSAL_H_

#include <string>

#include "libs/base/reason.h"
#include "libs/http/http_message.h"

namespace turmericwinch {

// Why a request was refused and whether it ran. `retry_after_s` is in seconds
// and 0 if a retry does not help.
struct Refusal {
  Reason reason;
  RanState ran = RanState::kNotRun;
  int retry_after_s = 0;
};

// Returns a refusal whose `retry_after_s` follows from its result code.
Refusal MakeRefusal(Reason reason, RanState ran = RanState::kNotRun);

// Returns `refusal` as JSON: code, name, message, ran and request_id.
std::string RefusalBody(const Refusal& refusal, const std::string& request_id);

// Returns the HTTP response with that body.
HttpResponse RefusalResponse(const Refusal& refusal,
                             const std::string& request_id);

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_REFUSAL_H_
