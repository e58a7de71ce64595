// Simulates hosts whose targets restart and become cold, while the fleet is
// split, registrations are late, lost or repeated, and hosts restart.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "libs/routing/target_table.h"

namespace turmericwinch {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Time = TargetTable::TimePoint;

const Time kStart{seconds(100)};
constexpr milliseconds kStep{10};
constexpr milliseconds kAnswerTime{200};
constexpr milliseconds kMaxArrivalTime{25};
constexpr seconds kDuration{46};
constexpr int kTargets = 8;
constexpr double kRate = 600;
constexpr milliseconds kColdTime{8'000};
constexpr milliseconds kDownTime{400};
// Single targets restart at this interval, except for the first, which stays
// warm until all restart at once.
constexpr milliseconds kRestartInterval{900};
constexpr seconds kAllRestart{34};
// Two parts of the fleet each see only their own hosts meanwhile.
constexpr seconds kSplitStart{8};
constexpr seconds kSplitEnd{18};
constexpr milliseconds kMaxNewsDelay{600};
// Registrations that a host missed arrive with the next whole list.
constexpr seconds kWholeListInterval{3};
constexpr milliseconds kHostRestartInterval{350};
constexpr seconds kWindow{1};
constexpr double kBound = 21.5;

ConfigSnapshot Config() {
  ConfigSet set;
  set.Add({ConfigKind::kFailureDomain, "a", {}, ""});
  set.Add({ConfigKind::kTargetClass,
           "any",
           {{"service", "llm"},
            {"most_in_flight", 1'000},
            {"cold_ms", kColdTime.count()},
            {"cold_requests_per_second", 11}},
           ""});
  return {1, "digest", set};
}

struct PlayTarget {
  int incarnation = 1;
  Time up_at = kStart;
  Time cold_until = kStart;
  std::vector<Time> cold_arrivals;
};

struct PlayHost {
  std::string name;
  std::unique_ptr<TargetTable> table;
  HostList list;
  // Changes of the list that are under way, by time of arrival.
  std::multimap<Time, std::vector<ListedMember>> news;
  // When the host reads the account and learns the fleet.
  Time fleet_at = kStart;
};

struct PlayAttempt {
  std::size_t host;
  TargetChoice choice;
  AttemptOutcome outcome;
  Time end;
};

class ColdTraffic {
 public:
  ColdTraffic(int hosts, unsigned seed) : hosts_(hosts), random_(seed) {
    for (int n = 0; n < kTargets; ++n) {
      registry_.push_back(
          {"t" + std::to_string(n), "a", "127.0.0.1:1", "1", "any", false});
    }
    for (std::size_t n = 0; n < hosts_.size(); ++n) {
      hosts_[n].name = "host-" + std::to_string(n);
      StartHost(hosts_[n], kStart);
    }
  }

  void Run() {
    Time next_restart = kStart + seconds(2);
    Time next_host_restart = kStart + seconds(2);
    Time next_whole_list = kStart + kWholeListInterval;
    bool all_restarted = false;
    for (Time now = kStart; now < kStart + kDuration; now += kStep) {
      if (now >= next_restart &&
          now < kStart + kAllRestart - kColdTime - seconds(1)) {
        RestartTarget(1 + random_() % (kTargets - 1), now);
        next_restart += kRestartInterval;
      }
      if (!all_restarted && now >= kStart + kAllRestart) {
        all_restarted = true;
        for (std::size_t n = 0; n < kTargets; ++n)
          RestartTarget(n, now);
      }
      if (now >= next_host_restart) {
        StartHost(hosts_[random_() % hosts_.size()], now);
        next_host_restart += kHostRestartInterval;
      }
      if (now >= next_whole_list) {
        for (PlayHost& it : hosts_)
          it.news.emplace(now + RandomTime(kMaxNewsDelay), registry_);
        next_whole_list += kWholeListInterval;
      }
      RegisterStarted(now);
      EndAttempts(now);
      for (std::size_t n = 0; n < hosts_.size(); ++n)
        RunHost(n, now);
    }
  }

  // Largest number of requests that a cold target got in a window.
  double MaxInWindow() {
    std::size_t max = 0;
    for (PlayTarget& target : targets_) {
      std::sort(target.cold_arrivals.begin(), target.cold_arrivals.end());
      std::deque<Time> window;
      for (Time it : target.cold_arrivals) {
        window.push_back(it);
        while (it - window.front() >= kWindow)
          window.pop_front();
        max = std::max(max, window.size());
      }
    }
    return static_cast<double>(max);
  }
  // Smallest number of requests that a target got a second, from two seconds
  // after all had restarted to the end of the cold time.
  double MinColdRate() const {
    const Time begin = kStart + kAllRestart + seconds(2);
    const Time end = kStart + kAllRestart + kColdTime;
    double min = kBound;
    for (const PlayTarget& target : targets_) {
      const auto n = std::count_if(
          target.cold_arrivals.begin(), target.cold_arrivals.end(),
          [&](Time it) { return it >= begin && it < end; });
      min =
          std::min(min, static_cast<double>(n) /
                            std::chrono::duration<double>(end - begin).count());
    }
    return min;
  }
  // Requests that found no target while the first one was warm.
  int rejected() const { return rejected_; }

 private:
  milliseconds RandomTime(milliseconds max) {
    return milliseconds(random_() %
                        static_cast<std::uint64_t>(max.count() + 1));
  }

  void StartHost(PlayHost& host, Time now) {
    host.table = std::make_unique<TargetTable>("a", host.name);
    host.table->SetColdBound(1.5, 5);
    host.news.clear();
    host.list.targets = registry_;
    host.table->Update(host.list, config_, now);
    host.fleet_at = now + RandomTime(kMaxNewsDelay);
  }

  void RestartTarget(std::size_t n, Time now) {
    PlayTarget& target = targets_[n];
    if (now < target.cold_until)
      return;
    ++target.incarnation;
    target.up_at = now + kDownTime;
    target.cold_until = target.up_at + kColdTime;
  }

  // A tenth of the changes is lost, another repeated.
  void SendNews(const ListedMember& member, Time now) {
    for (PlayHost& it : hosts_) {
      const auto fate = random_() % 10;
      if (fate == 0)
        continue;
      it.news.emplace(now + RandomTime(kMaxNewsDelay), std::vector{member});
      if (fate == 1)
        it.news.emplace(now + 2 * RandomTime(kMaxNewsDelay),
                        std::vector{member});
    }
  }

  void RegisterStarted(Time now) {
    for (std::size_t n = 0; n < kTargets; ++n) {
      const PlayTarget& target = targets_[n];
      ListedMember member = registry_[n];
      if (now < target.up_at)
        continue;
      member.incarnation = std::to_string(target.incarnation);
      if (now >= target.cold_until)
        member.cold_for = milliseconds(0);
      else if (member.incarnation != registry_[n].incarnation)
        member.cold_for = kColdTime;
      if (member == registry_[n])
        continue;
      registry_[n] = member;
      SendNews(member, now);
    }
  }

  void EndAttempts(Time now) {
    for (; !attempts_.empty() && attempts_.front().end <= now;
         attempts_.pop_front()) {
      const PlayAttempt& it = attempts_.front();
      hosts_[it.host].table->EndAttempt(it.choice, it.outcome, {}, now);
    }
  }

  // The source of the list drops news that is older than what the host has.
  void ReadNews(PlayHost& host, Time now) {
    bool has_changed = false;
    while (!host.news.empty() && host.news.begin()->first <= now) {
      for (const ListedMember& it : host.news.begin()->second) {
        ListedMember& known = host.list.targets[std::stoul(it.name.substr(1))];
        if (std::stoi(it.incarnation) < std::stoi(known.incarnation) ||
            (it.incarnation == known.incarnation &&
             known.cold_for == milliseconds(0)))
          continue;
        known = it;
        has_changed = true;
      }
      host.news.erase(host.news.begin());
    }
    if (has_changed)
      host.table->Update(host.list, config_, now);
  }

  void SetFleet(std::size_t host, Time now) {
    const bool is_split =
        now >= kStart + kSplitStart && now < kStart + kSplitEnd;
    const std::size_t half = hosts_.size() / 2;
    std::vector<std::string> fleet;
    for (std::size_t n = 0; n < hosts_.size(); ++n) {
      if (!is_split || (n < half) == (host < half))
        fleet.push_back(hosts_[n].name);
    }
    hosts_[host].table->SetFleet(std::move(fleet));
  }

  void RunHost(std::size_t n, Time now) {
    PlayHost& host = hosts_[n];
    ReadNews(host, now);
    if (now >= host.fleet_at) {
      SetFleet(n, now);
      host.fleet_at = now + seconds(1);
    }
    const double rate = kRate / static_cast<double>(hosts_.size()) *
                        std::chrono::duration<double>(kStep).count();
    for (int starts = std::poisson_distribution(rate)(random_); starts > 0;
         --starts)
      StartRequest(n, now);
  }

  void StartRequest(std::size_t n, Time now) {
    Reason reason;
    std::optional<TargetChoice> choice =
        hosts_[n].table->BeginAttempt({"llm", 100}, {}, now, &reason);
    if (!choice) {
      if (now < kStart + kAllRestart)
        ++rejected_;
      return;
    }
    PlayTarget& target = targets_[std::stoul(choice->name.substr(1))];
    const Time arrival = now + RandomTime(kMaxArrivalTime);
    AttemptOutcome outcome = AttemptOutcome::kGood;
    if (arrival < target.up_at)
      outcome = AttemptOutcome::kRefused;
    else if (choice->incarnation != std::to_string(target.incarnation))
      outcome = AttemptOutcome::kNoVerdict;  // Answered with 421.
    else if (arrival < target.cold_until)
      target.cold_arrivals.push_back(arrival);
    attempts_.push_back({n, *choice, outcome, now + kAnswerTime});
  }

  ConfigSnapshot config_ = Config();
  std::vector<PlayTarget> targets_{kTargets};
  std::vector<ListedMember> registry_;
  std::vector<PlayHost> hosts_;
  std::deque<PlayAttempt> attempts_;
  std::mt19937_64 random_;
  int rejected_ = 0;
};

void CheckTraffic(int hosts, unsigned seed) {
  ColdTraffic traffic(hosts, seed);
  traffic.Run();
  const std::string text =
      std::to_string(hosts) + " hosts, seed " + std::to_string(seed) +
      ": at most " + std::to_string(traffic.MaxInWindow()) +
      " in a second, at least " + std::to_string(traffic.MinColdRate());
  CHECK_TEXT(traffic.MaxInWindow() <= kBound, text.c_str());
  CHECK_TEXT(traffic.MinColdRate() >= 5, text.c_str());
  LONGS_EQUAL(0, traffic.rejected());
}

}  // namespace

TEST_GROUP(ColdTraffic){};

// Guards against a crash of a cold target by hosts that each see it idle.
TEST(ColdTraffic, LargeFleetKeepsTheBound) {
  for (unsigned seed = 1; seed <= 3; ++seed)
    CheckTraffic(83, seed);
}

TEST(ColdTraffic, SmallFleetKeepsTheBound) {
  for (unsigned seed = 1; seed <= 5; ++seed)
    CheckTraffic(6, seed);
}

}  // namespace turmericwinch
