// Simulates hosts that send to targets with rate limits. Each host has a target
// table of its own and learns the limits and the demand of the others at
// intervals.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "libs/routing/rate_share.h"
#include "libs/routing/target_table.h"
#include "support/routing_config.h"

namespace turmericwinch {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Time = TargetTable::TimePoint;

const Time kStart{seconds(100)};
constexpr milliseconds kStep{10};
constexpr milliseconds kAnswerTime{200};
constexpr milliseconds kShareInterval{500};
constexpr seconds kDuration{24};
// The hosts send five times as much from here on, for a while.
constexpr seconds kBurstStart{12};
constexpr seconds kBurstLength{3};
constexpr double kBurstFactor = 5;
// The bound of the users' platform: in a window, one and a half times what the
// limit allows and a few requests more, from a while after the target first
// named it.
constexpr seconds kWindow{4};
constexpr double kLimitFactor = 1.5;
constexpr double kLimitSlack = 5;
constexpr seconds kSettleTime{3};

struct RateLimitCase {
  int hosts;
  int targets;
  double limit;
  // Requests per second of all hosts; the first host gets a third of them.
  double rate;
};

// An attempt that its target answers at `end`.
struct Attempt {
  std::size_t host;
  TargetChoice choice;
  Time end;
};

class RateLimitTraffic {
 public:
  explicit RateLimitTraffic(const RateLimitCase& parameters)
      : parameters_(parameters) {
    HostList list;
    for (int n = 0; n < parameters.targets; ++n)
      list.targets.push_back(
          {"t" + std::to_string(n), "a", "127.0.0.1:1", "1", "any", false});
    for (int n = 0; n < parameters.hosts; ++n) {
      const std::string name = "host-" + std::to_string(n);
      tables_.push_back(std::make_unique<TargetTable>("a", name));
      tables_.back()->Update(list, SingleClassConfig("llm", 50, 64), kStart);
      tables_.back()->SetFirstRateShare(1.0 / parameters.hosts);
      const double others = parameters.hosts > 1 ? parameters.hosts - 1 : 1;
      const double part =
          n == 0 && parameters.hosts > 1 ? 1.0 / 3 : 2.0 / 3 / others;
      demands_.push_back({name, parameters.rate * part});
    }
  }

  void Run() {
    Time next_shares = kStart;
    for (Time now = kStart; now < kStart + kDuration; now += kStep) {
      EndAttempts(now);
      if (now >= next_shares) {
        UpdateShares(now);
        next_shares += kShareInterval;
      }
      for (std::size_t host = 0; host < tables_.size(); ++host)
        StartRequests(host, now);
    }
  }

  // Largest number of requests that a target got in a window.
  double MaxInWindow() const {
    std::size_t max = 0;
    for (const auto& [name, times] : starts_) {
      std::deque<Time> window;
      for (Time it : times) {
        if (it < kStart + kSettleTime)
          continue;
        window.push_back(it);
        while (it - window.front() > kWindow)
          window.pop_front();
        max = std::max(max, window.size());
      }
    }
    return static_cast<double>(max);
  }

  // Requests per second that each target got after the settle time.
  double MeanRate() const {
    double sum = 0;
    for (const auto& [name, times] : starts_) {
      sum += static_cast<double>(
          std::count_if(times.begin(), times.end(),
                        [](Time it) { return it >= kStart + kSettleTime; }));
    }
    const std::chrono::duration<double> time = kDuration - kSettleTime;
    return sum / parameters_.targets / time.count();
  }

 private:
  void EndAttempts(Time now) {
    while (!attempts_.empty() && attempts_.front().end <= now) {
      const Attempt& it = attempts_.front();
      TargetTable& table = *tables_[it.host];
      table.RecordRateLimit(it.choice, parameters_.limit, now);
      table.EndAttempt(it.choice, AttemptOutcome::kGood, {}, now);
      attempts_.pop_front();
    }
  }

  // Each host tells the others of the limits that it knows, and computes its
  // shares.
  void UpdateShares(Time now) {
    for (const auto& sender : tables_) {
      for (const RateLimitStatus& it : sender->RateLimits(now)) {
        for (const auto& receiver : tables_)
          receiver->RecordRateLimitNotice(it, now);
      }
    }
    for (std::size_t host = 0; host < tables_.size(); ++host) {
      for (const RateLimitStatus& it : tables_[host]->RateLimits(now)) {
        tables_[host]->SetRateShare(
            it.target,
            RateShareOf(demands_[host].host, it.target, *it.limit, demands_),
            now);
      }
    }
  }

  void StartRequests(std::size_t host, Time now) {
    const bool is_burst = now >= kStart + kBurstStart &&
                          now < kStart + kBurstStart + kBurstLength;
    const std::chrono::duration<double> step = kStep;
    const double mean =
        demands_[host].rate * step.count() * (is_burst ? kBurstFactor : 1);
    int requests = std::poisson_distribution<int>(mean)(random_);
    for (; requests > 0; --requests) {
      Reason reason;
      auto choice = tables_[host]->BeginAttempt({"llm", 100}, {}, now, &reason);
      if (!choice)
        continue;
      starts_[choice->name].push_back(now);
      attempts_.push_back({host, *choice, now + kAnswerTime});
    }
  }

  RateLimitCase parameters_;
  std::vector<std::unique_ptr<TargetTable>> tables_;
  std::vector<HostDemand> demands_;
  std::deque<Attempt> attempts_;
  std::map<std::string, std::vector<Time>> starts_;
  std::mt19937_64 random_{7};
};

}  // namespace

TEST_GROUP(RateLimitTraffic){};

TEST(RateLimitTraffic, AllHostsTogetherKeepToTheLimitOfEachTarget) {
  const RateLimitCase cases[] = {
      {1, 1, 2, 20},  {9, 9, 0.3, 60},  {9, 9, 1.8, 60},    {9, 9, 4.2, 60},
      {9, 4, 12, 60}, {65, 9, 0.5, 60}, {65, 20, 4.2, 400}, {65, 20, 30, 900},
  };
  for (const RateLimitCase& it : cases) {
    RateLimitTraffic traffic(it);
    traffic.Run();
    const double allowed = kLimitFactor * it.limit *
                               std::chrono::duration<double>(kWindow).count() +
                           kLimitSlack;
    const std::string text = std::to_string(it.hosts) + " hosts, limit " +
                             std::to_string(it.limit) + ": " +
                             std::to_string(traffic.MaxInWindow()) + " of " +
                             std::to_string(allowed) + ", mean rate " +
                             std::to_string(traffic.MeanRate());
    CHECK_TEXT(traffic.MaxInWindow() <= allowed, text.c_str());
    // The hosts ask for more than the limits, so these are used.
    CHECK_TEXT(traffic.MeanRate() > 0.7 * it.limit, text.c_str());
  }
}

}  // namespace turmericwinch
