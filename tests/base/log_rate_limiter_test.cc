#include "libs/base/log_rate_limiter.h"

#include <CppUTest/TestHarness.h>

namespace turmericwinch {

namespace {

using std::chrono::seconds;

int CountAcquired(LogRateLimiter& limiter,
                  LogRateLimiter::TimePoint now,
                  int lines) {
  int acquired = 0;
  for (int n = 0; n < lines; ++n)
    acquired += limiter.TryAcquire(now);
  return acquired;
}

}  // namespace

TEST_GROUP(LogRateLimiter) {
  LogRateLimiter limiter;
  LogRateLimiter::TimePoint start{seconds(100)};
};

TEST(LogRateLimiter, LimitsABurstAndCountsDroppedLines) {
  LONGS_EQUAL(kLogBurstLines, CountAcquired(limiter, start, 10'000));
  LONGS_EQUAL(10'000 - kLogBurstLines, limiter.TakeDropped());
  LONGS_EQUAL(0, limiter.TakeDropped());
}

TEST(LogRateLimiter, AllowsMoreLinesAsTimePasses) {
  CountAcquired(limiter, start, 10'000);
  LONGS_EQUAL(kLogLinesPerSecond,
              CountAcquired(limiter, start + seconds(1), 10'000));
  LONGS_EQUAL(kLogBurstLines,
              CountAcquired(limiter, start + seconds(60), 10'000));
}

}  // namespace turmericwinch
