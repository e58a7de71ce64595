#include "libs/routing/concurrency_limit.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <vector>

#include "libs/routing/routing_constants.h"

namespace turmericwinch {

namespace {

constexpr double kIdleSeconds = 0.1;
constexpr double kMaxLimit = 64;

// Seconds to the first token at an engine that has `in_flight` requests, runs
// `slots` of them at once and takes one second for each.
double FirstTokenSeconds(double slots, double in_flight) {
  return kIdleSeconds + std::max(in_flight - slots, 0.0) / slots;
}

struct ConvergenceCase {
  const char* name;
  int hosts;
  double slots;
  // Bounds for the sum of the hosts' limits.
  double min_sum;
  double max_sum;
};

const std::vector<ConvergenceCase> kConvergenceCases = {
    {"one host", 1, 16, 12, 20},
    {"three hosts share a target", 3, 16, 10, 24},
    {"the engine runs the configured limit at once", 1, 64, 60, 64},
    // Each host's limit stays at one request or more and grows by one from
    // there.
    {"eight hosts, eight slots", 8, 8, 8, 17},
};

}  // namespace

TEST_GROUP(ConcurrencyLimit) {
  ConcurrencyLimit limit;
  ConcurrencyLimit::TimePoint now{std::chrono::seconds(100)};

  // Records a first token long after the last one, so that the limit may
  // decrease again.
  void AddFirstToken(ConcurrencyLimit & target_limit, ShareStatus share_status,
                     double seconds, double prompt, double in_flight) {
    now += std::chrono::seconds(10);
    target_limit.RecordFirstToken(
        share_status, std::chrono::duration<double>(seconds), prompt,
        static_cast<std::int64_t>(in_flight), now);
  }
  // Raises `limit` to `max`.
  void RaiseLimit(double max) {
    limit.SetBounds(8, max);
    DOUBLES_EQUAL(max, limit.limit(), 1e-9);
    AddFirstToken(limit, ShareStatus::kOnlyTeam, kIdleSeconds, 100, 1);
    while (limit.limit() < max)
      AddFirstToken(limit, ShareStatus::kOnlyTeam, kIdleSeconds, 100,
                    limit.limit());
  }
};

TEST(ConcurrencyLimit, ConvergesToConcurrencyOfTarget) {
  for (const ConvergenceCase& it : kConvergenceCases) {
    std::vector<ConcurrencyLimit> hosts(static_cast<std::size_t>(it.hosts));
    for (ConcurrencyLimit& host : hosts) {
      host.SetBounds(kMaxLimit * kMinLimitFraction / it.hosts, kMaxLimit);
      AddFirstToken(host, ShareStatus::kOnlyTeam, kIdleSeconds, 100, 1);
    }
    double sum = 0;
    for (int n = 0; n < 1'000; ++n) {
      sum = 0;
      for (const ConcurrencyLimit& host : hosts)
        sum += std::max(host.limit(), 1.0);
      for (ConcurrencyLimit& host : hosts) {
        AddFirstToken(host, ShareStatus::kOnlyTeam,
                      FirstTokenSeconds(it.slots, sum), 100,
                      std::max(host.limit(), 1.0));
      }
    }
    CHECK_TEXT(sum >= it.min_sum, it.name);
    CHECK_TEXT(sum <= it.max_sum, it.name);
  }
}

TEST(ConcurrencyLimit, GrowsFastUntilFirstLateToken) {
  limit.SetBounds(8, kMaxLimit);
  for (int n = 0; n < 8; ++n)
    AddFirstToken(limit, ShareStatus::kOverShare, kIdleSeconds, 100, 8);
  DOUBLES_EQUAL(16, limit.limit(), 1e-9);
  AddFirstToken(limit, ShareStatus::kOverShare, kIdleSeconds * 3, 100, 16);
  DOUBLES_EQUAL(16 * (1 - kMaxLimitDecrease), limit.limit(), 1e-9);
  const double lowered = limit.limit();
  AddFirstToken(limit, ShareStatus::kOverShare, kIdleSeconds, 100, lowered);
  DOUBLES_EQUAL(lowered + kSharedLimitIncrease / lowered, limit.limit(), 1e-9);
}

TEST(ConcurrencyLimit, IgnoresRequestsSentBeforeLastDecrease) {
  RaiseLimit(kMaxLimit);
  const std::chrono::duration<double> late(kIdleSeconds * 3);
  for (int n = 0; n < 30; ++n)
    limit.RecordFirstToken(ShareStatus::kOverShare, late, 100, 40, now);
  DOUBLES_EQUAL(kMaxLimit * (1 - kMaxLimitDecrease), limit.limit(), 1e-9);
}

TEST(ConcurrencyLimit, DecreasesByAtLeastOneForTeamWithinShare) {
  RaiseLimit(kMaxLimit);
  AddFirstToken(limit, ShareStatus::kOverShare,
                kIdleSeconds * kLateFactor * 1.001, 100, 40);
  DOUBLES_EQUAL(kMaxLimit * 0.999, limit.limit(), 1e-6);
  const double before = limit.limit();
  AddFirstToken(limit, ShareStatus::kWithinShare,
                kIdleSeconds * kLateFactor * 1.001, 100, 40);
  DOUBLES_EQUAL(before - 1, limit.limit(), 1e-6);
  for (int n = 0; n < 100; ++n)
    AddFirstToken(limit, ShareStatus::kWithinShare, kIdleSeconds * 2, 100,
                  limit.limit());
  DOUBLES_EQUAL(8, limit.limit(), 1e-9);
}

TEST(ConcurrencyLimit, IdleTimeAdaptsToSlowerTarget) {
  RaiseLimit(kMaxLimit);
  for (int n = 0; n < 100; ++n)
    AddFirstToken(limit, ShareStatus::kOnlyTeam, 1.3 * kIdleSeconds, 100, 1);
  DOUBLES_EQUAL(1.3 * kIdleSeconds, limit.idle_seconds(), 0.1 * kIdleSeconds);
}

TEST(ConcurrencyLimit, LongPromptIsLateOnlyBeyondItsPrefillTime) {
  constexpr double kPrompt = 6'000;
  RaiseLimit(kMaxLimit);
  for (int n = 0; n < 100; ++n)
    AddFirstToken(limit, ShareStatus::kWithinShare, kIdleSeconds + 2, kPrompt,
                  1);
  DOUBLES_EQUAL(kMaxLimit, limit.limit(), 1e-9);
  AddFirstToken(limit, ShareStatus::kWithinShare, kIdleSeconds + 3, kPrompt,
                40);
  CHECK(limit.limit() < kMaxLimit);
}

}  // namespace turmericwinch
