// Bounds what a host tells its peers of lost targets. Free of clocks, threads
// and sockets.

#ifndef SRC_LIBS_DELIVERY_NOTICE_RATE_LIMITER_H_
#define SRC_LIBS_DELIVERY_NOTICE_RATE_LIMITER_H_

#include <chrono>

#include "libs/delivery/delivery_constants.h"

namespace turmericwinch {

// kNoticeBurst at once, and one more for each kNoticeInterval.
class NoticeRateLimiter {
 public:
  using Time = std::chrono::steady_clock::time_point;

  // Whether one more may be sent at `now`; if so it is counted.
  bool TryAcquire(Time now);

 private:
  int left_ = kNoticeBurst;
  Time earned_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_DELIVERY_NOTICE_RATE_LIMITER_H_
