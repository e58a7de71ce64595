#include "libs/delivery/notice_rate_limiter.h"

#include <algorithm>

namespace turmericwinch {

bool NoticeRateLimiter::TryAcquire(Time now) {
  const auto earned = (now - earned_) / kNoticeInterval;
  if (left_ + earned >= kNoticeBurst) {
    left_ = kNoticeBurst;
    earned_ = now;
  } else {
    left_ += static_cast<int>(earned);
    earned_ += earned * kNoticeInterval;
  }
  if (left_ == 0)
    return false;
  --left_;
  return true;
}

}  // namespace turmericwinch
