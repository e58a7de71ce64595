// Limits the rate of log lines of one category.

#ifndef SRC_LIBS_BASE_LOG_RATE_LIMITER_H_
#define SRC_LIBS_BASE_LOG_RATE_LIMITER_H_

#include <chrono>
#include <cstdint>

namespace turmericwinch {

// Lines per second that a category may write, and its burst limit. A host
// serves tens of requests per second, with one or two lines each.
inline constexpr double kLogLinesPerSecond = 300;
inline constexpr double kLogBurstLines = 600;

// Uses no clock; the caller passes the time. Not thread-safe.
class LogRateLimiter {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  // Whether one more line may be written; if not, counts it as dropped.
  bool TryAcquire(TimePoint now);
  // Returns the number of lines dropped since the last call.
  std::uint64_t TakeDropped();

 private:
  double available_ = kLogBurstLines;
  TimePoint last_refill_;
  std::uint64_t dropped_ = 0;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_BASE_LOG_RATE_LIMITER_H_
