#include "libs/routing/limit_gate.h"

#include <CppUTest/TestHarness.h>

namespace turmericwinch {

namespace {

using std::chrono::seconds;

const LimitGate::TimePoint kStart{seconds(100)};

}  // namespace

TEST_GROUP(LimitGate) {
  LimitGate gate;
  Reason reason;
};

TEST(LimitGate, RateIsSharedByTheLiveHosts) {
  const LimitConfig limit{"rate", "team", "", 8, 0, 0};
  gate.SetHosts(4);
  int admitted = 0;
  for (int n = 0; n < 100; ++n) {
    const auto now = kStart + std::chrono::milliseconds(100 * n);
    admitted += gate.Begin({&limit}, 1, now, &reason) ? 1 : 0;
  }
  // Ten seconds at 2 a second, and the first second's burst.
  CHECK(admitted >= 20 && admitted <= 22);
  LONGS_EQUAL(static_cast<int>(ResultCode::kLimitExceeded),
              static_cast<int>(reason.code));
}

TEST(LimitGate, InFlightIsGivenBack) {
  const LimitConfig limit{"few", "team", "", 0, 2, 0};
  auto first = gate.Begin({&limit}, 1, kStart, &reason);
  CHECK(gate.Begin({&limit}, 1, kStart, &reason).has_value());
  CHECK_FALSE(gate.Begin({&limit}, 1, kStart, &reason).has_value());
  gate.End(*first);
  CHECK(gate.Begin({&limit}, 1, kStart, &reason).has_value());
}

TEST(LimitGate, RefusalCountsUnderNoLimit) {
  const LimitConfig wide{"wide", "team", "", 0, 10, 0};
  const LimitConfig small{"small", "team", "", 0, 0, 100};
  CHECK_FALSE(gate.Begin({&wide, &small}, 101, kStart, &reason).has_value());
  LONGS_EQUAL(0, gate.InFlight("wide"));
  CHECK(gate.Begin({&wide, &small}, 100, kStart, &reason).has_value());
}

}  // namespace turmericwinch
