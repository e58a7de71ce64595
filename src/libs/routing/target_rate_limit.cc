#include "libs/routing/target_rate_limit.h"

namespace turmericwinch {

bool TargetRateLimit::RecordResponse(std::optional<double> limit,
                                     TimePoint sent_at,
                                     TimePoint now) {
  if (limit)
    named_at_ = now;
  else if (limit_ && sent_at < named_at_)
    return false;
  if (limit == limit_)
    return false;
  limit_ = limit;
  return true;
}

}  // namespace turmericwinch
