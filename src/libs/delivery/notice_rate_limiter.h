// Limits the rate of the notices of lost targets that a host sends to its
// peers. Uses no clocks, threads or sockets.

#ifndef SRC_LIBS_DELIVERY_NOTICE_RATE_LIMITER_H_
#define SRC_LIBS_DELIVERY_NOTICE_RATE_LIMITER_H_

#include <chrono>

#include "libs/delivery/delivery_constants.h"

namespace turmericwinch {

// Token bucket of kNoticeBurst notices that gains one in each kNoticeInterval.
class NoticeRateLimiter {
 public:
  using Time = std::chrono::steady_clock::time_point;

  // Takes a token and returns true if one more notice may be sent at `now`.
  bool TryAcquire(Time now);

 private:
  int tokens_ = kNoticeBurst;
  Time last_refill_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_DELIVERY_NOTICE_RATE_LIMITER_H_
