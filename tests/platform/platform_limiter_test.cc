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
// Reads per second that the platform accepts; the fleet's rates stay below.
constexpr int kMaxReadsPerSecond = 2'000;

struct Caller {
  PlatformDuty duty;
  PlatformCallKind kind;
};

// Counts started calls by duty and rejected calls by result code.
struct Outcome {
  std::map<PlatformDuty, int> started;
  std::map<ResultCode, int> rejected;

  int TotalStarted() const {
    int n = 0;
    for (const auto& [duty, it] : started)
      n += it;
    return n;
  }
};

// One host. Each caller enqueues one call per step. The platform answers each
// started call immediately; it fails the call unless `up`.
class Host {
 public:
  Host(PlatformRates rates, std::size_t hosts, std::uint64_t seed)
      : limiter(rates, hosts, seed) {}

  void Step(const std::vector<Caller>& callers, bool up, Time now) {
    for (const Caller& it : callers)
      pending_[limiter.Enqueue(it.duty, it.kind, now)] = it.duty;
    HandleDecisions(up, now);
  }
  void HandleDecisions(bool up, Time now) {
    for (const PlatformDecision& it : limiter.TakeDecisions(now)) {
      auto pending = pending_.extract(it.ticket);
      if (it.reason.code != ResultCode::kOk) {
        ++outcome.rejected[it.reason.code];
        continue;
      }
      ++outcome.started[pending.mapped()];
      limiter.EndCall(up, now);
    }
  }

  PlatformLimiter limiter;
  Outcome outcome;

 private:
  std::map<std::uint64_t, PlatformDuty> pending_;
};

// Maximum number of calls that a host may start within `time`.
int MaxStartedCalls(double rate, Time time) {
  return static_cast<int>(
             rate * static_cast<double>(time.count()) / 1000 +
             std::max(kPlatformMinBurst, rate * kPlatformBurstSeconds)) +
         1;
}

}  // namespace

TEST_GROUP(PlatformLimiter){};

TEST(PlatformLimiter, LimitsABurstToTheRateAndTheQueueSize) {
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
    CHECK(waiting <= kPlatformMaxWaiting);
    for (Time now = kStep; now <= 3 * kSecond; now += kStep)
      host.HandleDecisions(true, now);
    const int started = host.outcome.TotalStarted();
    CHECK(started >= std::min(it.burst, 2));
    CHECK(started <= MaxStartedCalls(it.rate, kPlatformMaxWait));
    // Every call is either started or rejected with a reason.
    LONGS_EQUAL(0, host.limiter.Stats(kBills).waiting);
    LONGS_EQUAL(it.burst,
                started + host.outcome.rejected[ResultCode::kPlatformLimited]);
    CHECK_FALSE(host.limiter.NextDecisionTime(3 * kSecond).has_value());
  }
}

TEST(PlatformLimiter, ReasonsNameTheDutyAndTheLimit) {
  PlatformLimiter limiter({1, 1}, 1, 1);
  for (std::size_t n = 0; n < kPlatformMaxWaiting + 5; ++n)
    limiter.Enqueue(kBudget, kWrite, Time(0));
  const std::vector<PlatformDecision> decisions =
      limiter.TakeDecisions(Time(0));
  const auto rejected = std::find_if(
      decisions.begin(), decisions.end(), [](const PlatformDecision& it) {
        return it.reason.code == ResultCode::kPlatformLimited;
      });
  CHECK(rejected != decisions.end());
  STRCMP_EQUAL(
      "a platform call for budget was not made: too many wait for this host's "
      "share",
      rejected->reason.text.c_str());
}

TEST(PlatformLimiter, SharesTheRateByWeightWithoutStarvation) {
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
  // The duty with the lowest weight started more than one call in two seconds.
  CHECK(started[PlatformDuty::kOperator] > 30);
}

TEST(PlatformLimiter, GivesAnIdleDutyNoCredit) {
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
  const std::vector<PlatformDecision> decisions =
      limiter.TakeDecisions(Time(0));
  LONGS_EQUAL(1, decisions.size());
  CHECK(decisions[0].ticket == write);
}

TEST(PlatformLimiter, ProbesRarelyAndAtRandomTimesDuringAnOutage) {
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
    // The failed calls before the outage, the growing pauses, then at most one
    // probe per half of the longest pause.
    CHECK(probes[seed].size() <
          3 + 6 + 60 * kSecond / (kPlatformMaxProbePause / 2));
    CHECK(probes[seed].size() > 60 * kSecond / (2 * kPlatformMaxProbePause));
  }
  CHECK(probes[0] != probes[1]);
}

TEST(PlatformLimiter, RejectsQueuedCallsWhenThePlatformBecomesUnavailable) {
  Host host({1, 1}, 1, 1);
  host.Step(std::vector<Caller>(10, {kBills, kRead}), true, Time(0));
  LONGS_EQUAL(9, host.limiter.Stats(kBills).waiting);
  for (int n = 0; n < kPlatformFailuresToUnavailable; ++n)
    host.limiter.EndCall(false, Time(0));
  CHECK(host.limiter.unavailable());
  host.HandleDecisions(false, kPlatformUnavailableWait);
  // One of the queued calls probed the platform.
  LONGS_EQUAL(2, host.outcome.TotalStarted());
  LONGS_EQUAL(8, host.outcome.rejected[ResultCode::kPlatformUnavailable]);
  LONGS_EQUAL(0, host.limiter.Stats(kBills).waiting);
}

// In fleets of up to 16 hosts, a call made just after an outage must not fail:
// a probe must start before the call's wait ends.
TEST(PlatformLimiter, FailsNoCallOfASmallFleetAfterAnOutage) {
  for (const std::size_t hosts : {1, 2, 9, 16}) {
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
      Host host(kFleetRates, hosts, seed);
      Time now{0};
      for (; now < 30 * kSecond; now += kStep)
        host.Step({{kBills, kWrite}}, false, now);
      CHECK(host.limiter.unavailable());
      host.HandleDecisions(false, now + kPlatformUnavailableWait);
      now += 2 * kPlatformUnavailableWait;
      const std::uint64_t ticket = host.limiter.Enqueue(kBudget, kRead, now);
      bool is_made = false;
      for (const Time end = now + kPlatformUnavailableWait; now < end;
           now += kStep) {
        for (const PlatformDecision& it : host.limiter.TakeDecisions(now)) {
          is_made = is_made ||
                    (it.ticket == ticket && it.reason.code == ResultCode::kOk);
        }
      }
      CHECK(is_made);
    }
  }
}

TEST(PlatformLimiter, IgnoresFailuresBetweenAnswers) {
  PlatformLimiter limiter({1, 1}, 1, 1);
  for (int n = 0; n < 10; ++n) {
    limiter.EndCall(false, Time(n));
    limiter.EndCall(n % 2 == 0, Time(n));
  }
  CHECK_FALSE(limiter.unavailable());
}

// A fleet of the intended size calls without pause, during an outage and after
// it. After the outage the hosts together must stay within what the platform
// accepts.
TEST(PlatformLimiter, LimitsTheFleetAfterAnOutage) {
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
    CHECK(calls[kHosts] <= kMaxReadsPerSecond);
    CHECK(calls[kBills] <= 3 * kFleetRates.writes);
    // During the outage the hosts only probe.
    if (second > 12 && second < 25)
      CHECK(calls[kHosts] + calls[kBills] < 420);
  }
  // Normal calls resume within the longest probe pause after the outage.
  CHECK(in_second[32][kHosts] > 1'000);
  CHECK(in_second[32][kBills] > 200);
}

TEST(PlatformLimiter, DividesTheRatesByTheNumberOfHosts) {
  PlatformLimiter limiter(kFleetRates, kFleet, 1);
  DOUBLES_EQUAL(300.0 / 420, limiter.share().writes, 1e-9);
  limiter.SetHosts(9, Time(0));
  DOUBLES_EQUAL(300.0 / 9, limiter.share().writes, 1e-9);
  DOUBLES_EQUAL(1500.0 / 9, limiter.share().reads, 1e-9);
}

}  // namespace turmericwinch
