#include "libs/routing/team_limiter.h"

#include <CppUTest/TestHarness.h>

namespace turmericwinch {

namespace {

using std::chrono::seconds;

const TeamLimiter::TimePoint kStart{seconds(100)};

}  // namespace

TEST_GROUP(TeamLimiter) {
  TeamLimiter limiter;
  Reason reason;
};

TEST(TeamLimiter, RateIsDividedAmongLiveHosts) {
  const LimitConfig limit{"rate", "team", "", 8, 0, 0};
  limiter.SetLiveHosts(4);
  int admitted = 0;
  for (int n = 0; n < 100; ++n) {
    const auto now = kStart + std::chrono::milliseconds(100 * n);
    admitted += limiter.Admit({&limit}, 1, now, &reason) ? 1 : 0;
  }
  // Ten seconds at 2 requests per second, plus a burst of one second.
  CHECK(admitted >= 20 && admitted <= 22);
  LONGS_EQUAL(static_cast<int>(ResultCode::kLimitExceeded),
              static_cast<int>(reason.code));
}

TEST(TeamLimiter, ReleaseFreesTheInFlightLimit) {
  const LimitConfig limit{"few", "team", "", 0, 2, 0};
  auto first = limiter.Admit({&limit}, 1, kStart, &reason);
  CHECK(limiter.Admit({&limit}, 1, kStart, &reason).has_value());
  CHECK_FALSE(limiter.Admit({&limit}, 1, kStart, &reason).has_value());
  limiter.Release(*first);
  CHECK(limiter.Admit({&limit}, 1, kStart, &reason).has_value());
}

TEST(TeamLimiter, RejectedRequestIsCountedUnderNoLimit) {
  const LimitConfig wide{"wide", "team", "", 0, 10, 0};
  const LimitConfig small{"small", "team", "", 0, 0, 100};
  CHECK_FALSE(limiter.Admit({&wide, &small}, 101, kStart, &reason).has_value());
  LONGS_EQUAL(0, limiter.InFlight("wide"));
  CHECK(limiter.Admit({&wide, &small}, 100, kStart, &reason).has_value());
}

}  // namespace turmericwinch
