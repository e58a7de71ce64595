#include "libs/base/log_rate_limiter.h"

#include <algorithm>
#include <utility>

namespace turmericwinch {

bool LogRateLimiter::TryAcquire(TimePoint now) {
  if (now > last_refill_) {
    const std::chrono::duration<double> elapsed = now - last_refill_;
    available_ = std::min(available_ + elapsed.count() * kLogLinesPerSecond,
                          kLogBurstLines);
    last_refill_ = now;
  }
  if (available_ < 1) {
    ++dropped_;
    return false;
  }
  available_ -= 1;
  return true;
}

std::uint64_t LogRateLimiter::TakeDropped() {
  return std::exchange(dropped_, 0);
}

}  // namespace turmericwinch
