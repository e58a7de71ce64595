#include "libs/delivery/notice_rate_limiter.h"

#include <algorithm>

namespace turmericwinch {

bool NoticeRateLimiter::TryAcquire(Time now) {
  const auto earned = (now - last_refill_) / kNoticeInterval;
  if (tokens_ + earned >= kNoticeBurst) {
    tokens_ = kNoticeBurst;
    last_refill_ = now;
  } else {
    tokens_ += static_cast<int>(earned);
    last_refill_ += earned * kNoticeInterval;
  }
  if (tokens_ == 0)
    return false;
  --tokens_;
  return true;
}

}  // namespace turmericwinch
