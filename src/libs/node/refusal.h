// Refusals as callers see them.

#ifndef SRC_LIBS_NODE_REFUSAL_H_
#define SRC_LIBS_NODE_REFUSAL_H_

#include <string>

#include "libs/base/reason.h"
#include "libs/http/http_message.h"

namespace turmericwinch {

// Why a request was refused and whether it ran. `retry_after_s` is 0 if a
// retry does not help.
struct Refusal {
  Reason reason;
  RanState ran = RanState::kNotRun;
  int retry_after_s = 0;
};

// A refusal whose advice on retrying follows from its code.
Refusal MakeRefusal(Reason reason, RanState ran = RanState::kNotRun);

// The JSON body of `refusal`: code, name, message, ran, request_id.
std::string RefusalBody(const Refusal& refusal, const std::string& request_id);

// The whole response.
HttpResponse RefusalResponse(const Refusal& refusal,
                             const std::string& request_id);

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_REFUSAL_H_
