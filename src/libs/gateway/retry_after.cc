#include "libs/gateway/retry_after.h"

#include "libs/gateway/gateway_constants.h"

namespace turmericwinch {

std::chrono::milliseconds RetryAfterOf(ResultCode code) {
  switch (code) {
    case ResultCode::kBudgetUnreachable:
      return kRetryAfterNoTokens;
    // The quarantine lasts longer than any caller waits.
    case ResultCode::kQuarantined:
      return std::chrono::milliseconds(0);
    case ResultCode::kNoConfig:
      return kRetryAfterNoConfig;
    default:
      return kRetryAfterBusy;
  }
}

}  // namespace turmericwinch
