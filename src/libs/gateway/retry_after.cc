#include "libs/gateway/retry_after.h"

#include "libs/gateway/gateway_constants.h"

namespace turmericwinch {

std::chrono::milliseconds RetryAfterOf(ResultCode code) {
  switch (code) {
    case ResultCode::kBudgetUnreachable:
      return kRetryAfterNoTokens;
    // The quarantine lasts longer than any caller waits, and every host has the
    // same targets.
    case ResultCode::kQuarantined:
    case ResultCode::kNoAllowedTarget:
      return std::chrono::milliseconds(0);
    case ResultCode::kDomainEvacuated:
      return kRetryAfterEvacuated;
    case ResultCode::kNoConfig:
      return kRetryAfterNoConfig;
    default:
      return kRetryAfterBusy;
  }
}

}  // namespace turmericwinch
