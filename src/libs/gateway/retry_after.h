// When callers whose request did not run should come back.

#ifndef SRC_LIBS_GATEWAY_RETRY_AFTER_H_
#define SRC_LIBS_GATEWAY_RETRY_AFTER_H_

#include <chrono>

#include "libs/base/result_code.h"

namespace turmericwinch {

// Answers the load of hosts that are cut off or have just started while others
// serve: a retry reaches another host, so it should come soon. A busy service
// is given time to finish some of its work.
std::chrono::milliseconds RetryAfterOf(ResultCode code);

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_RETRY_AFTER_H_
