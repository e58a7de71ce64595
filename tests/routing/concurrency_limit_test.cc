#include "libs/routing/concurrency_limit.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <vector>

#include "libs/routing/routing_constants.h"

namespace turmericwinch {

namespace {

constexpr double kIdle = 0.1;
constexpr double kMost = 64;

// First token of an engine that runs `slots` requests at once for a second
// each, with `in_flight` requests there.
double FirstTokenOf(double slots, double in_flight) {
  return kIdle + std::max(in_flight - slots, 0.0) / slots;
}

struct SettleCase {
  const char* name;
  int hosts;
  double slots;
  // Bounds of the sum of the hosts' limits.
  double least;
  double most;
};

const std::vector<SettleCase> kSettleCases = {
    {"one host", 1, 16, 12, 20},
    {"three hosts share a target", 3, 16, 10, 24},
    {"all that is configured runs at once", 1, 64, 60, 64},
    // Each keeps one request and rises from it by one.
    {"eight hosts, an engine for as many", 8, 8, 8, 17},
};

}  // namespace

TEST_GROUP(ConcurrencyLimit) {
  ConcurrencyLimit limit;
  ConcurrencyLimit::TimePoint now{std::chrono::seconds(100)};

  // A first token at a time when none that is older is still to come.
  void First(ConcurrencyLimit & at, ShareStatus sample, double seconds,
             double prompt, double in_flight) {
    now += std::chrono::seconds(10);
    at.FirstToken(sample, std::chrono::duration<double>(seconds), prompt,
                  static_cast<std::int64_t>(in_flight), now);
  }
  // Lets `limit` rise to `most`.
  void Rise(double most) {
    limit.SetBounds(8, most);
    DOUBLES_EQUAL(most, limit.limit(), 1e-9);
    First(limit, ShareStatus::kOnlyTeam, kIdle, 100, 1);
    while (limit.limit() < most)
      First(limit, ShareStatus::kOnlyTeam, kIdle, 100, limit.limit());
  }
};

TEST(ConcurrencyLimit, SettlesNearWhatTheTargetRunsAtOnce) {
  for (const SettleCase& it : kSettleCases) {
    std::vector<ConcurrencyLimit> hosts(static_cast<std::size_t>(it.hosts));
    for (ConcurrencyLimit& host : hosts) {
      host.SetBounds(kMost * kLimitLeastShare / it.hosts, kMost);
      First(host, ShareStatus::kOnlyTeam, kIdle, 100, 1);
    }
    double sum = 0;
    for (int n = 0; n < 1'000; ++n) {
      sum = 0;
      for (const ConcurrencyLimit& host : hosts)
        sum += std::max(host.limit(), 1.0);
      for (ConcurrencyLimit& host : hosts) {
        First(host, ShareStatus::kOnlyTeam, FirstTokenOf(it.slots, sum), 100,
              std::max(host.limit(), 1.0));
      }
    }
    CHECK_TEXT(sum >= it.least, it.name);
    CHECK_TEXT(sum <= it.most, it.name);
  }
}

TEST(ConcurrencyLimit, RisesFastUntilATokenComesLate) {
  limit.SetBounds(8, kMost);
  for (int n = 0; n < 8; ++n)
    First(limit, ShareStatus::kOverShare, kIdle, 100, 8);
  DOUBLES_EQUAL(16, limit.limit(), 1e-9);
  First(limit, ShareStatus::kOverShare, kIdle * 3, 100, 16);
  DOUBLES_EQUAL(16 * (1 - kLimitFallMost), limit.limit(), 1e-9);
  const double fallen = limit.limit();
  First(limit, ShareStatus::kOverShare, kIdle, 100, fallen);
  DOUBLES_EQUAL(fallen + kLimitRiseShared / fallen, limit.limit(), 1e-9);
}

TEST(ConcurrencyLimit, RequestsSentBeforeItFellDoNotLowerItAgain) {
  Rise(kMost);
  const std::chrono::duration<double> late(kIdle * 3);
  for (int n = 0; n < 30; ++n)
    limit.FirstToken(ShareStatus::kOverShare, late, 100, 40, now);
  DOUBLES_EQUAL(kMost * (1 - kLimitFallMost), limit.limit(), 1e-9);
}

TEST(ConcurrencyLimit, FallsByOneAtLeastForATeamWithinItsShare) {
  Rise(kMost);
  First(limit, ShareStatus::kOverShare, kIdle * kLateFactor * 1.001, 100, 40);
  DOUBLES_EQUAL(kMost * 0.999, limit.limit(), 1e-6);
  const double before = limit.limit();
  First(limit, ShareStatus::kWithinShare, kIdle * kLateFactor * 1.001, 100, 40);
  DOUBLES_EQUAL(before - 1, limit.limit(), 1e-6);
  for (int n = 0; n < 100; ++n)
    First(limit, ShareStatus::kWithinShare, kIdle * 2, 100, limit.limit());
  DOUBLES_EQUAL(8, limit.limit(), 1e-9);
}

TEST(ConcurrencyLimit, ASlowerTargetIsLearntWhileItIsNotLimited) {
  Rise(kMost);
  for (int n = 0; n < 100; ++n)
    First(limit, ShareStatus::kOnlyTeam, 1.3 * kIdle, 100, 1);
  DOUBLES_EQUAL(1.3 * kIdle, limit.idle_seconds(), 0.1 * kIdle);
}

TEST(ConcurrencyLimit, LongPromptsAreLateOnlyBeyondTheirReading) {
  constexpr double kPrompt = 6'000;
  Rise(kMost);
  for (int n = 0; n < 100; ++n)
    First(limit, ShareStatus::kWithinShare, kIdle + 2, kPrompt, 1);
  DOUBLES_EQUAL(kMost, limit.limit(), 1e-9);
  First(limit, ShareStatus::kWithinShare, kIdle + 3, kPrompt, 40);
  CHECK(limit.limit() < kMost);
}

}  // namespace turmericwinch
