// Wait before a retry, for callers whose request did not run.

#ifndef SRC_LIBS_GATEWAY_RETRY_AFTER_H_
#define SRC_LIBS_GATEWAY_RETRY_AFTER_H_

#include <chrono>

#include "libs/base/result_code.h"

namespace turmericwinch {

// The retry after a refusal of a host that is cut off or has just started
// should come soon, because it reaches another host. A busy service needs time
// to finish some of its requests. 0 means that the caller is not asked to
// retry.
std::chrono::milliseconds RetryAfterOf(ResultCode code);

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_RETRY_AFTER_H_
