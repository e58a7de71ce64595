#include "libs/routing/team_limiter.h"

#include <CppUTest/TestHarness.h>

namespace turmericwinch {

namespace {

using std::chrono::seconds;

const TeamLimiter::TimePoint kStart{seconds(100)};

}  // namespace

TEST_GROUP(TeamLimiter) {
  TeamLimiter gate;
  Reason reason;
};

TEST(TeamLimiter, RateIsSharedByTheLiveHosts) {
  const LimitConfig limit{"rate", "team", "", 8, 0, 0};
  gate.SetLiveHosts(4);
  int admitted = 0;
  for (int n = 0; n < 100; ++n) {
    const auto now = kStart + std::chrono::milliseconds(100 * n);
    admitted += gate.Admit({&limit}, 1, now, &reason) ? 1 : 0;
  }
  // Ten seconds at 2 a second, and the first second's burst.
  CHECK(admitted >= 20 && admitted <= 22);
  LONGS_EQUAL(static_cast<int>(ResultCode::kLimitExceeded),
              static_cast<int>(reason.code));
}

TEST(TeamLimiter, InFlightIsGivenBack) {
  const LimitConfig limit{"few", "team", "", 0, 2, 0};
  auto first = gate.Admit({&limit}, 1, kStart, &reason);
  CHECK(gate.Admit({&limit}, 1, kStart, &reason).has_value());
  CHECK_FALSE(gate.Admit({&limit}, 1, kStart, &reason).has_value());
  gate.Release(*first);
  CHECK(gate.Admit({&limit}, 1, kStart, &reason).has_value());
}

TEST(TeamLimiter, RefusalCountsUnderNoLimit) {
  const LimitConfig wide{"wide", "team", "", 0, 10, 0};
  const LimitConfig small{"small", "team", "", 0, 0, 100};
  CHECK_FALSE(gate.Admit({&wide, &small}, 101, kStart, &reason).has_value());
  LONGS_EQUAL(0, gate.InFlight("wide"));
  CHECK(gate.Admit({&wide, &small}, 100, kStart, &reason).has_value());
}

}  // namespace turmericwinch
