#include "libs/routing/target_speed.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <boost/json/parse.hpp>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "libs/routing/routing_constants.h"
#include "libs/routing/target_load.h"
#include "libs/routing/target_table.h"

namespace turmericwinch {

namespace {

using std::chrono::milliseconds;

const TargetSpeed::TimePoint kStart{std::chrono::seconds(100)};

ConfigSnapshot Config() {
  ConfigSet set;
  set.Add({ConfigKind::kFailureDomain, "a", {}, ""});
  set.Add({ConfigKind::kTargetClass, "any",
           boost::json::parse(R"({"service":"llm","tokens_per_second":50,
             "most_in_flight":64})")
               .as_object(),
           ""});
  return {1, "digest", set};
}

// Many hosts and targets. All targets need the same time for a request. Each
// response carries the speed that `reported` gives for its target.
class Play {
 public:
  static constexpr int kHosts = 20;
  static constexpr int kTargets = 8;
  static constexpr int kArrivalsPerHostAndSecond = 10;
  static constexpr std::chrono::milliseconds kStep{10};
  static constexpr std::chrono::seconds kLength{20};

  // Fraction of the requests that target 0 got.
  double Run(const std::function<std::int64_t(int target, milliseconds time)>&
                 reported) {
    HostList list;
    for (int n = 0; n < kTargets; ++n) {
      list.targets.push_back(
          {std::to_string(n), "a", "127.0.0.1:1", "1", "any", false});
    }
    const ConfigSnapshot config = Config();
    for (int n = 0; n < kHosts; ++n) {
      hosts_.push_back(
          std::make_unique<TargetTable>("a", "host" + std::to_string(n)));
      hosts_.back()->Update(list, config, kStart);
    }
    std::bernoulli_distribution arrives(
        kArrivalsPerHostAndSecond *
        std::chrono::duration<double>(kStep).count());
    for (milliseconds time{0}; time < kLength; time += kStep) {
      EndRequests(time, reported);
      for (auto& host : hosts_) {
        if (arrives(random_))
          Begin(*host, time);
      }
      if (time >= std::chrono::seconds(1))
        RecordShare();
    }
    return static_cast<double>(counts_[0]) / total_;
  }

  // Largest fraction of the requests in flight that was at target 0 at once,
  // after the first second.
  double largest_share() const { return largest_share_; }

 private:
  struct Running {
    TargetTable* host;
    TargetChoice choice;
  };

  void Begin(TargetTable& host, milliseconds time) {
    Reason reason;
    auto choice = host.BeginAttempt({"llm", 200}, {}, kStart + time, &reason);
    CHECK(choice.has_value());
    ++counts_[std::stoi(choice->name)];
    ++total_;
    std::uniform_int_distribution<int> tokens(10, 100);
    const milliseconds length{tokens(random_) * 20};
    running_.emplace(time + length, Running{&host, std::move(*choice)});
  }

  void RecordShare() {
    const auto at_first = std::count_if(
        running_.begin(), running_.end(),
        [](const auto& it) { return it.second.choice.name == "0"; });
    largest_share_ =
        std::max(largest_share_, static_cast<double>(at_first) /
                                     static_cast<double>(running_.size()));
  }

  void EndRequests(
      milliseconds time,
      const std::function<std::int64_t(int, milliseconds)>& reported) {
    while (!running_.empty() && running_.begin()->first <= time) {
      Running it = std::move(running_.begin()->second);
      running_.erase(running_.begin());
      const auto now = kStart + time;
      it.host->RecordReportedLoad(
          it.choice, {1, 0, 64, reported(std::stoi(it.choice.name), time)},
          now);
      it.host->RecordFirstToken(it.choice, milliseconds(80), now);
      it.host->EndAttempt(it.choice, AttemptOutcome::kGood, milliseconds(20),
                          now);
    }
  }

  std::mt19937 random_{7};
  std::vector<std::unique_ptr<TargetTable>> hosts_;
  std::multimap<milliseconds, Running> running_;
  std::map<int, int> counts_;
  double total_ = 0;
  double largest_share_ = 0;
};

}  // namespace

TEST_GROUP(TargetSpeed) {
  TargetSpeed speed;
  milliseconds time{0};

  // Reports `percent` every 20 ms for `length`.
  void Report(std::int64_t percent, milliseconds length) {
    for (const milliseconds end = time + length; time < end;
         time += milliseconds(20))
      speed.RecordReport(percent, kStart + time);
  }
  double Factor() const {
    return speed.Factor(kStart + time);
  }
};

// Guards against a change of speed being seen only after several measurements.
TEST(TargetSpeed, FollowsATargetThatTurnsSlowAndBackWithinASecond) {
  Report(100, milliseconds(500));
  DOUBLES_EQUAL(1, Factor(), 0.01);
  Report(300, milliseconds(400));
  DOUBLES_EQUAL(3, Factor(), 0.3);
  Report(100, milliseconds(600));
  DOUBLES_EQUAL(1, Factor(), 0.1);
}

TEST(TargetSpeed, OneReportCountsInPartAndDecaysWithAge) {
  speed.RecordReport(300, kStart);
  DOUBLES_EQUAL(2, Factor(), 0.01);
  time = kReportHalfLife;
  DOUBLES_EQUAL(1.5, Factor(), 0.01);
  time = 20 * kReportHalfLife;
  DOUBLES_EQUAL(1, Factor(), 0.01);
}

TEST(TargetSpeed, ReportsThatArriveLateOrMeanNothingChangeNothing) {
  Report(100, milliseconds(200));
  speed.RecordReport(900, kStart);
  speed.RecordReport(0, kStart + time);
  speed.RecordReport(-100, kStart + time);
  DOUBLES_EQUAL(1, Factor(), 0.01);
}

// Guards against a slow target being counted as slow twice: by its measured
// times and by its reports. Without reports, the measured times count alone.
TEST(TargetSpeed, CountsOnlyTheChangeSinceTheMeasurements) {
  for (int n = 0; n < 30; ++n) {
    Report(300, milliseconds(100));
    speed.RecordMeasurement(kStart + time);
  }
  DOUBLES_EQUAL(1, Factor(), 0.05);
  Report(100, milliseconds(600));
  DOUBLES_EQUAL(kMinSpeedFactor, Factor(), 1e-9);
  time += std::chrono::seconds(10);
  DOUBLES_EQUAL(1, Factor(), 0.01);
}

TEST(TargetSpeed, ExtremeReportsAreBounded) {
  Report(100'000, milliseconds(1'000));
  DOUBLES_EQUAL(kMaxSpeedFactor, Factor(), 1e-9);
  Report(1, milliseconds(2'000));
  DOUBLES_EQUAL(kMinSpeedFactor, Factor(), 1e-9);
}

TEST(TargetSpeed, ScalesTheCostOfATarget) {
  TargetLoad load(100);
  const double usual = load.Cost(200, kStart);
  load.RecordReportedSpeed(300, kStart);
  DOUBLES_EQUAL(2 * usual, load.Cost(200, kStart), 1e-9);
}

// Guards against a herd: all hosts read that one target is fast, and send all
// their requests there. Fair is an eighth; the bound is three times as much.
TEST(TargetSpeed, ManyHostsDoNotAllSendToATargetThatReportsFast) {
  Play play;
  const double share =
      play.Run([](int target, milliseconds) { return target == 0 ? 25 : 100; });
  CHECK(share < 3.0 / Play::kTargets);
  CHECK(play.largest_share() < 3.0 / Play::kTargets);
}

// As above, for a target that turns fast and slow all the time. A target that
// reports slow still gets requests.
TEST(TargetSpeed, ChangingReportsKeepTheSharesOfTargetsBounded) {
  Play play;
  const double share = play.Run([](int target, milliseconds time) {
    return target != 0 ? 100 : time.count() / 500 % 2 == 0 ? 50 : 300;
  });
  CHECK(share < 2.0 / Play::kTargets);
  CHECK(play.largest_share() < 3.0 / Play::kTargets);
  const double slow = Play().Run(
      [](int target, milliseconds) { return target == 0 ? 1'000 : 100; });
  CHECK(slow > 0.01);
}

}  // namespace turmericwinch
