#include "libs/platform/platform_limiter.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>

#include "libs/platform/platform_constants.h"

namespace turmericwinch {

namespace {

using Time = PlatformLimiter::Time;

constexpr PlatformCallKind kRead = PlatformCallKind::kRead;
constexpr PlatformCallKind kWrite = PlatformCallKind::kWrite;
constexpr PlatformDuty kBills = PlatformDuty::kBills;
constexpr PlatformDuty kBudget = PlatformDuty::kBudget;
constexpr PlatformDuty kHosts = PlatformDuty::kHosts;
constexpr Time kStep{10};
constexpr Time kSecond{1'000};
constexpr std::size_t kFleet = 420;
constexpr PlatformRates kFleetRates{1'500, 300};
// What the platform takes; the rates stay below.
constexpr int kMostReads = 2'000;

struct Caller {
  PlatformDuty duty;
  PlatformCallKind kind;
};

// Counts what became of calls, by duty.
struct Outcome {
  std::map<PlatformDuty, int> started;
  std::map<ResultCode, int> refused;

  int AllStarted() const {
    int n = 0;
    for (const auto& [duty, it] : started)
      n += it;
    return n;
  }
};

// One host whose callers ask again in each step until `end`; each has at most
// one call that waits. The platform answers at once as long as `up`.
class Host {
 public:
  Host(PlatformRates rates, std::size_t hosts, std::uint64_t seed)
      : limiter(rates, hosts, seed) {}

  void Step(const std::vector<Caller>& callers, bool up, Time now) {
    for (const Caller& it : callers)
      asked_[limiter.Enqueue(it.duty, it.kind, now)] = it.duty;
    Take(up, now);
  }
  void Take(bool up, Time now) {
    for (const PlatformDecision& it : limiter.TakeDecisions(now)) {
      auto asked = asked_.extract(it.ticket);
      if (it.reason.code != ResultCode::kOk) {
        ++outcome.refused[it.reason.code];
        continue;
      }
      ++outcome.started[asked.mapped()];
      limiter.EndCall(up, now);
    }
  }

  PlatformLimiter limiter;
  Outcome outcome;

 private:
  std::map<std::uint64_t, PlatformDuty> asked_;
};

// Most calls that a host may start in `time`.
int Bound(double rate, Time time) {
  return static_cast<int>(
             rate * static_cast<double>(time.count()) / 1000 +
             std::max(kPlatformLeastBurst, rate * kPlatformBurstSeconds)) +
         1;
}

}  // namespace

TEST_GROUP(PlatformLimiter){};

TEST(PlatformLimiter, ABurstStaysWithinTheRateAndTheQueue) {
  struct Case {
    PlatformRates fleet;
    std::size_t hosts;
    PlatformCallKind kind;
    int burst;
    double rate;
  };
  const Case cases[] = {
      {{1500, 300}, 1, kWrite, 10, 300},
      {{1500, 300}, 9, kWrite, 30, 33.3},
      {{1500, 300}, 420, kWrite, 200, .714},
      {{1500, 300}, 420, kRead, 200, 3.57},
      {{1500, 300}, 0, kRead, 500, 1500},
  };
  for (const Case& it : cases) {
    Host host(it.fleet, it.hosts, 1);
    host.Step(std::vector<Caller>(it.burst, {kBills, it.kind}), true, Time(0));
    const auto waiting = host.limiter.Stats(kBills).waiting;
    CHECK(waiting <= kPlatformMostWaiting);
    for (Time now = kStep; now <= 3 * kSecond; now += kStep)
      host.Take(true, now);
    const int started = host.outcome.AllStarted();
    CHECK(started >= std::min(it.burst, 2));
    CHECK(started <= Bound(it.rate, kPlatformMostWait));
    // Nothing waits for ever, and every refusal says why.
    LONGS_EQUAL(0, host.limiter.Stats(kBills).waiting);
    LONGS_EQUAL(it.burst,
                started + host.outcome.refused[ResultCode::kPlatformLimited]);
    CHECK_FALSE(host.limiter.NextDecisionTime(3 * kSecond).has_value());
  }
}

TEST(PlatformLimiter, ReasonsNameTheDutyAndTheLimit) {
  PlatformLimiter limiter({1, 1}, 1, 1);
  for (std::size_t n = 0; n < kPlatformMostWaiting + 5; ++n)
    limiter.Enqueue(kBudget, kWrite, Time(0));
  const std::vector<PlatformDecision> turns = limiter.TakeDecisions(Time(0));
  const auto refused =
      std::find_if(turns.begin(), turns.end(), [](const PlatformDecision& it) {
        return it.reason.code == ResultCode::kPlatformLimited;
      });
  CHECK(refused != turns.end());
  STRCMP_EQUAL(
      "a platform call for budget was not made: too many wait for this host's "
      "share",
      refused->reason.text.c_str());
}

TEST(PlatformLimiter, DutiesShareByWeightAndNoneStarves) {
  Host host({100, 100}, 1, 1);
  const std::vector<Caller> callers = {
      {kBills, kWrite},
      {PlatformDuty::kClaims, kWrite},
      {kBudget, kWrite},
      {PlatformDuty::kConfig, kWrite},
      {PlatformDuty::kOperator, kWrite},
      {PlatformDuty::kCaches, kWrite},
  };
  for (Time now{0}; now < 60 * kSecond; now += kStep)
    host.Step(callers, true, now);
  auto& started = host.outcome.started;
  CHECK(started[kBills] > 3 * started[kBudget] / 2);
  CHECK(started[PlatformDuty::kClaims] > 3 * started[kBudget] / 2);
  CHECK(started[kBudget] > 3 * started[PlatformDuty::kConfig] / 2);
  CHECK(started[PlatformDuty::kConfig] >
        3 * started[PlatformDuty::kCaches] / 2);
  // The weakest of them had its turn more often than once in two seconds.
  CHECK(started[PlatformDuty::kOperator] > 30);
}

TEST(PlatformLimiter, ADutyThatWasIdleHasSavedNoTurns) {
  Host host({10, 10}, 1, 1);
  for (Time now{0}; now < 30 * kSecond; now += kStep)
    host.Step({{kBudget, kWrite}}, true, now);
  host.outcome = {};
  for (Time now = 30 * kSecond; now < 33 * kSecond; now += kStep)
    host.Step({{kBudget, kWrite}, {kBills, kWrite}}, true, now);
  CHECK(host.outcome.started[kBudget] > 0);
}

TEST(PlatformLimiter, WritesDoNotWaitForReads) {
  PlatformLimiter limiter({1, 1}, 1, 1);
  for (int n = 0; n < 20; ++n)
    limiter.Enqueue(kBudget, kRead, Time(0));
  limiter.TakeDecisions(Time(0));
  const std::uint64_t write = limiter.Enqueue(kBudget, kWrite, Time(0));
  const std::vector<PlatformDecision> turns = limiter.TakeDecisions(Time(0));
  LONGS_EQUAL(1, turns.size());
  CHECK(turns[0].ticket == write);
}

TEST(PlatformLimiter, AnOutageIsProbedSeldomAndAtRandomTimes) {
  std::vector<Time> probes[2];
  for (int seed = 0; seed < 2; ++seed) {
    PlatformLimiter limiter({420'000, 420'000}, kFleet, 10 + seed);
    for (Time now{0}; now < 60 * kSecond; now += kStep) {
      for (int n = 0; n < 3; ++n)
        limiter.Enqueue(kBills, kWrite, now);
      for (const PlatformDecision& it : limiter.TakeDecisions(now)) {
        if (it.reason.code == ResultCode::kOk) {
          probes[seed].push_back(now);
          limiter.EndCall(false, now);
        } else {
          CHECK(it.reason.code == ResultCode::kPlatformUnavailable);
        }
      }
    }
    CHECK(limiter.unavailable());
    CHECK(limiter.Stats(kBills).while_away > 0);
    // Calls in a row, the steps up, then one in half the longest pause.
    CHECK(probes[seed].size() < 3 + 6 + 60 * kSecond / (kPlatformAwayMost / 2));
    CHECK(probes[seed].size() > 60 * kSecond / (2 * kPlatformAwayMost));
  }
  CHECK(probes[0] != probes[1]);
}

TEST(PlatformLimiter, WhatWaitsIsRefusedWhenThePlatformGoesAway) {
  Host host({1, 1}, 1, 1);
  host.Step(std::vector<Caller>(10, {kBills, kRead}), true, Time(0));
  LONGS_EQUAL(9, host.limiter.Stats(kBills).waiting);
  for (int n = 0; n < kPlatformFailuresToAway; ++n)
    host.limiter.EndCall(false, Time(0));
  CHECK(host.limiter.unavailable());
  host.Take(false, kPlatformAwayWait);
  // One of them asked whether the platform is back.
  LONGS_EQUAL(2, host.outcome.AllStarted());
  LONGS_EQUAL(8, host.outcome.refused[ResultCode::kPlatformUnavailable]);
  LONGS_EQUAL(0, host.limiter.Stats(kBills).waiting);
}

// In the fleets of today a call that comes when the platform is back is made.
TEST(PlatformLimiter, ASmallFleetLosesNoCallAfterAnOutage) {
  for (const std::size_t hosts : {1, 2, 9, 16}) {
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
      Host host(kFleetRates, hosts, seed);
      Time now{0};
      for (; now < 30 * kSecond; now += kStep)
        host.Step({{kBills, kWrite}}, false, now);
      CHECK(host.limiter.unavailable());
      host.Take(false, now + kPlatformAwayWait);
      now += 2 * kPlatformAwayWait;
      const std::uint64_t ticket = host.limiter.Enqueue(kBudget, kRead, now);
      bool is_made = false;
      for (const Time end = now + kPlatformAwayWait; now < end; now += kStep) {
        for (const PlatformDecision& it : host.limiter.TakeDecisions(now)) {
          is_made = is_made ||
                    (it.ticket == ticket && it.reason.code == ResultCode::kOk);
        }
      }
      CHECK(is_made);
    }
  }
}

TEST(PlatformLimiter, FailuresBetweenAnswersAreNoOutage) {
  PlatformLimiter limiter({1, 1}, 1, 1);
  for (int n = 0; n < 10; ++n) {
    limiter.EndCall(false, Time(n));
    limiter.EndCall(n % 2 == 0, Time(n));
  }
  CHECK_FALSE(limiter.unavailable());
}

// All hosts of the target size ask without pause, through an outage and for
// ten seconds after it.
TEST(PlatformLimiter, TheFleetDoesNotStampedeAfterAnOutage) {
  std::vector<std::unique_ptr<Host>> hosts;
  for (std::size_t n = 0; n < kFleet; ++n)
    hosts.push_back(std::make_unique<Host>(kFleetRates, kFleet, n));
  const std::vector<Caller> callers = {{kBills, kWrite}, {kHosts, kRead}};
  const Time kDown = 5 * kSecond;
  const Time kUp = 25 * kSecond;
  const Time kCallerStep{100};
  std::map<std::int64_t, std::map<PlatformDuty, int>> in_second;
  for (Time now{0}; now < 40 * kSecond; now += kCallerStep) {
    const bool up = now < kDown || now >= kUp;
    for (auto& it : hosts) {
      it->outcome = {};
      it->Step(callers, up, now);
      for (const auto& [duty, n] : it->outcome.started)
        in_second[now / kSecond][duty] += n;
    }
  }
  for (auto& [second, calls] : in_second) {
    CHECK(calls[kHosts] <= kMostReads);
    CHECK(calls[kBills] <= 3 * kFleetRates.writes);
    // In the outage hosts probe, no more.
    if (second > 12 && second < 25)
      CHECK(calls[kHosts] + calls[kBills] < 420);
  }
  // The work goes on after it, within the longest pause.
  CHECK(in_second[32][kHosts] > 1'000);
  CHECK(in_second[32][kBills] > 200);
}

TEST(PlatformLimiter, TheShareFollowsTheNumberOfHosts) {
  PlatformLimiter limiter(kFleetRates, kFleet, 1);
  DOUBLES_EQUAL(300.0 / 420, limiter.share().writes, 1e-9);
  limiter.SetHosts(9, Time(0));
  DOUBLES_EQUAL(300.0 / 9, limiter.share().writes, 1e-9);
  DOUBLES_EQUAL(1500.0 / 9, limiter.share().reads, 1e-9);
}

}  // namespace turmericwinch
