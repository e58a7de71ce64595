// Cold targets in the target table.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <boost/json/parse.hpp>
#include <map>

#include "libs/routing/cold_senders.h"
#include "libs/routing/routing_constants.h"
#include "libs/routing/target_table.h"

namespace turmericwinch {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Time = TargetTable::TimePoint;

const Time kStart{seconds(100)};

ConfigSnapshot Config(int per_second = 4) {
  ConfigSet set;
  auto add = [&](ConfigKind kind, const char* name, const std::string& fields) {
    set.Add({kind, name, boost::json::parse(fields).as_object(), ""});
  };
  add(ConfigKind::kFailureDomain, "a", R"({"overflow":["b"]})");
  add(ConfigKind::kFailureDomain, "b", R"({"overflow":["a"]})");
  add(ConfigKind::kTargetClass, "llm",
      R"({"service":"llm","tokens_per_second":80,"most_in_flight":100,)"
      R"("cold_ms":8000,"cold_requests_per_second":)" +
          std::to_string(per_second) + "}");
  return {1, "digest", set};
}

ListedMember Member(const std::string& name,
                    std::optional<milliseconds> cold_for = std::nullopt,
                    const std::string& incarnation = "1",
                    const std::string& domain = "a") {
  return {name, domain, "127.0.0.1:1", incarnation, "llm", false, cold_for};
}

}  // namespace

// The only host of its fleet: its share of each cold target is the limit of 4.
TEST_GROUP(ColdTargets) {
  ConfigSnapshot config = Config();
  TargetTable table{"a", "host"};
  HostList list;
  Reason reason;
  RoutingRequest request{"llm", 100};
  std::vector<ColdNotice> notices;

  void setup() override {
    table.SetColdBound(1.5, 5);
    table.SetFleet({"host"});
    table.SetColdHandler(
        [this](const ColdNotice& it) { notices.push_back(it); });
  }
  void Update(Time now) {
    table.Update(list, config, now);
  }
  std::string Choose(Time now) {
    auto choice = table.BeginAttempt(request, {}, now, &reason);
    if (choice)
      table.EndAttempt(*choice, AttemptOutcome::kGood, {}, now);
    return choice ? choice->name : "";
  }
  // Requests that start within the second from `from` on, by target.
  std::map<std::string, int> StartsInSecond(Time from) {
    std::map<std::string, int> starts;
    for (Time now = from; now < from + seconds(1); now += milliseconds(10))
      ++starts[Choose(now)];
    return starts;
  }
  bool IsCold(const std::string& name, Time now) {
    const std::vector<TargetStats> stats = table.Stats(now);
    return std::any_of(stats.begin(), stats.end(), [&](const TargetStats& it) {
      return it.name == name && it.cold;
    });
  }
  void Refuse(Time now) {
    auto choice = table.BeginAttempt(request, {}, now, &reason);
    CHECK(choice.has_value());
    table.EndAttempt(*choice, AttemptOutcome::kRefused, {}, now);
  }
};

TEST(ColdTargets, RegistrationLimitsUntilItsTimeIsOver) {
  list.targets = {Member("t", seconds(3))};
  Update(kStart);
  LONGS_EQUAL(4, StartsInSecond(kStart + seconds(1))["t"]);
  LONGS_EQUAL(100, StartsInSecond(kStart + seconds(3))["t"]);
  LONGS_EQUAL(1, notices.size());
  CHECK(notices[0].cause == ColdCause::kRegistration);
  LONGS_EQUAL(3'000, notices[0].time.count());
  LONGS_EQUAL(4, notices[0].share.value_or(0));
}

// Guards against a repeated list, which arrives several times a second, that
// restarts the cold time, and against one log line for each.
TEST(ColdTargets, RepeatedListDoesNotProlong) {
  list.targets = {Member("t", seconds(3))};
  for (int n = 0; n < 40; ++n)
    Update(kStart + n * milliseconds(100));
  CHECK_FALSE(IsCold("t", kStart + seconds(3)));
  LONGS_EQUAL(1, notices.size());
}

TEST(ColdTargets, TargetsOfTheFirstListAreWarm) {
  list.targets = {Member("t")};
  Update(kStart);
  CHECK_FALSE(IsCold("t", kStart));
}

// Guards against a restarted target that is used as before because no request
// had been answered yet.
TEST(ColdTargets, NewIncarnationIsColdUntilItSaysOtherwise) {
  list.targets = {Member("t")};
  Update(kStart);
  list.targets = {Member("t", std::nullopt, "2")};
  Update(kStart + seconds(1));
  CHECK(IsCold("t", kStart + milliseconds(8'999)));
  CHECK_FALSE(IsCold("t", kStart + seconds(9)));
  CHECK(notices.at(0).cause == ColdCause::kNew);
  STRCMP_EQUAL("2", notices.at(0).incarnation.c_str());
  list.targets = {Member("t", milliseconds(0), "2")};
  Update(kStart + seconds(2));
  CHECK_FALSE(IsCold("t", kStart + seconds(2)));
}

TEST(ColdTargets, LaterListedTargetIsCold) {
  Update(kStart);
  list.targets = {Member("t")};
  Update(kStart);
  CHECK_FALSE(IsCold("t", kStart));
  list.targets.push_back(Member("u"));
  Update(kStart + seconds(1));
  CHECK(IsCold("u", kStart + seconds(1)));
}

TEST(ColdTargets, RegistrationSaysColdAgain) {
  list.targets = {Member("t")};
  Update(kStart);
  LONGS_EQUAL(100, StartsInSecond(kStart)["t"]);
  list.targets = {Member("t", seconds(5))};
  Update(kStart + seconds(10));
  LONGS_EQUAL(4, StartsInSecond(kStart + seconds(10))["t"]);
  list.targets = {Member("t", seconds(6))};
  Update(kStart + seconds(11));
  CHECK(IsCold("t", kStart + milliseconds(16'999)));
}

// Guards against a target that becomes cold again and writes the same time as
// before, at a host that has not seen the registrations in between.
TEST(ColdTargets, RegistrationWrittenAgainSaysColdAgain) {
  list.targets = {Member("t", seconds(5))};
  list.targets[0].cold_version = "17";
  Update(kStart);
  CHECK_FALSE(IsCold("t", kStart + seconds(5)));
  list.targets[0].cold_version = "23";
  Update(kStart + seconds(20));
  CHECK(IsCold("t", kStart + milliseconds(24'999)));
  LONGS_EQUAL(2, notices.size());
}

// Guards against a field that is missing in a later registration, for example
// when the target starts to leave and returns, ending the cold time early.
TEST(ColdTargets, RegistrationWithoutTheFieldChangesNothing) {
  list.targets = {Member("t", seconds(5))};
  Update(kStart);
  list.targets = {Member("t")};
  Update(kStart + seconds(1));
  CHECK(IsCold("t", kStart + milliseconds(4'999)));
}

// Guards against all hosts returning to a domain at once.
TEST(ColdTargets, EvacuatedDomainReturnsCold) {
  list.targets = {Member("t"), Member("u", std::nullopt, "1", "b")};
  Update(kStart);
  table.SetEvacuatedDomains({"a"}, kStart);
  STRCMP_EQUAL("u", Choose(kStart).c_str());
  LONGS_EQUAL(0, notices.size());
  table.SetEvacuatedDomains({}, kStart + seconds(9));
  CHECK(notices.at(0).cause == ColdCause::kEvacuationEnded);
  list.targets[0].cold_for = milliseconds(0);
  Update(kStart + seconds(10));
  LONGS_EQUAL(4, StartsInSecond(kStart + seconds(11))["t"]);
  CHECK(IsCold("t", kStart + milliseconds(16'999)));
  CHECK_FALSE(IsCold("t", kStart + seconds(17)));
  CHECK_FALSE(IsCold("u", kStart + seconds(9)));
  LONGS_EQUAL(1, notices.size());
}

// Guards against a restarted target that is reached before its registration
// arrives, or whose registration is older than the restart.
TEST(ColdTargets, RefusedConnectionMakesCold) {
  list.targets = {Member("t")};
  Update(kStart);
  Refuse(kStart);
  CHECK(notices.at(0).cause == ColdCause::kRefused);
  list.targets = {Member("t", milliseconds(0), "2")};
  Update(kStart + seconds(1));
  CHECK(IsCold("t", kStart + milliseconds(7'999)));
  LONGS_EQUAL(4, StartsInSecond(kStart + seconds(4))["t"]);
}

TEST(ColdTargets, OtherFailuresDoNotMakeCold) {
  list.targets = {Member("t")};
  Update(kStart);
  auto choice = table.BeginAttempt(request, {}, kStart, &reason);
  table.EndAttempt(*choice, AttemptOutcome::kFailed, {}, kStart);
  CHECK_FALSE(IsCold("t", kStart));
}

// Guards against requests that wait for a cold target while a warm one, here in
// an overflow domain, has room.
TEST(ColdTargets, OthersTakeWhatAColdTargetDoesNot) {
  list.targets = {Member("t", seconds(5)),
                  Member("u", milliseconds(0), "1", "b")};
  Update(kStart);
  std::map<std::string, int> starts = StartsInSecond(kStart + seconds(1));
  LONGS_EQUAL(4, starts["t"]);
  LONGS_EQUAL(96, starts["u"]);
}

// Guards against a host that has just started, and doesn't know the fleet, or
// is not listed in it.
TEST(ColdTargets, HostOutsideTheFleetSendsNothing) {
  list.targets = {Member("t", seconds(5))};
  for (const std::vector<std::string>& fleet :
       {std::vector<std::string>{}, std::vector<std::string>{"other"}}) {
    table.SetFleet(fleet);
    Update(kStart);
    LONGS_EQUAL(0, StartsInSecond(kStart + seconds(1))["t"]);
    DOUBLES_EQUAL(0, *table.AllowedRate("llm", kStart), 0);
    CHECK(*table.NextRateStart("llm", kStart) == kStart + seconds(5));
  }
  LONGS_EQUAL(100, StartsInSecond(kStart + seconds(5))["t"]);
}

// Guards against shares that stay as they were when the fleet, the bound or the
// configured limit changes, for cold targets and for those that become cold
// later.
TEST(ColdTargets, SharesFollowFleetBoundAndConfig) {
  list.targets = {Member("t", seconds(60)), Member("u")};
  Update(kStart);
  std::vector<std::string> fleet;
  for (int n = 0; n < 83; ++n)
    fleet.push_back("host-" + std::to_string(n));
  fleet.emplace_back("host");
  table.SetFleet(fleet);
  const ColdLimit limit{4, 1.5, 5};
  // The other target is warm.
  CHECK_FALSE(table.AllowedRate("llm", kStart).has_value());
  list.targets[1].cold_for = seconds(60);
  Update(kStart + seconds(1));
  DOUBLES_EQUAL(ColdShareOf("host", "t/1", limit, fleet) +
                    ColdShareOf("host", "u/1", limit, fleet),
                *table.AllowedRate("llm", kStart + seconds(1)), 0);
  table.SetFleet({"host"});
  DOUBLES_EQUAL(8, *table.AllowedRate("llm", kStart + seconds(1)), 0);
  config = Config(40);
  Update(kStart + seconds(2));
  DOUBLES_EQUAL(64, *table.AllowedRate("llm", kStart + seconds(2)), 0);
  table.SetColdBound(1, 0);
  DOUBLES_EQUAL(40, *table.AllowedRate("llm", kStart + seconds(2)), 0);
}

// Guards against a restarted host, or one whose list lost the target for a
// moment, that repeats the interval since its last start.
TEST(ColdTargets, FirstStartWaitsOneInterval) {
  list.targets = {Member("t", seconds(5))};
  Update(kStart);
  STRCMP_EQUAL("", Choose(kStart + milliseconds(262)).c_str());
  STRCMP_EQUAL("t", Choose(kStart + milliseconds(263)).c_str());
  list.targets.clear();
  Update(kStart + milliseconds(270));
  list.targets = {Member("t", seconds(5))};
  Update(kStart + milliseconds(280));
  STRCMP_EQUAL("", Choose(kStart + milliseconds(542)).c_str());
  STRCMP_EQUAL("t", Choose(kStart + milliseconds(543)).c_str());
}

// Guards against a queue of requests that wait for targets that can't serve
// them: the allowed rate decides whether they are rejected at once.
TEST(ColdTargets, AllowedRateOfAColdServiceIsItsShares) {
  list.targets = {Member("t", seconds(5)), Member("u", seconds(5), "1", "b")};
  Update(kStart);
  DOUBLES_EQUAL(8, *table.AllowedRate("llm", kStart), 0);
  const std::set<std::string> only_a{"a"};
  DOUBLES_EQUAL(4, *table.AllowedRate("llm", kStart, &only_a), 0);
  table.SetEvacuatedDomains({"b"}, kStart);
  DOUBLES_EQUAL(4, *table.AllowedRate("llm", kStart), 0);
}

// Guards against a warm target counted although the request may not reach it,
// or no request may.
TEST(ColdTargets, OnlyUsableWarmTargetsLiftTheRate) {
  list.targets = {Member("t", seconds(5)),
                  Member("u", milliseconds(0), "1", "b")};
  Update(kStart);
  CHECK_FALSE(table.AllowedRate("llm", kStart).has_value());
  const std::set<std::string> only_a{"a"};
  DOUBLES_EQUAL(4, *table.AllowedRate("llm", kStart, &only_a), 0);
  CHECK(*table.NextRateStart("llm", kStart, &only_a) ==
        kStart + std::chrono::microseconds(262'500));
  table.SetEvacuatedDomains({"b"}, kStart);
  DOUBLES_EQUAL(4, *table.AllowedRate("llm", kStart), 0);
}

// Guards against rejecting requests that could be served when the cold time
// ends in a moment.
TEST(ColdTargets, TargetThatIsSoonWarmIsNotLimited) {
  list.targets = {Member("t", seconds(5))};
  Update(kStart);
  CHECK(table.AllowedRate("llm", kStart + milliseconds(4'400)).has_value());
  CHECK_FALSE(
      table.AllowedRate("llm", kStart + milliseconds(4'600)).has_value());
}

// Guards against a rate limit that a cold target named and that is lower or
// higher than its share.
TEST(ColdTargets, LowerOfRateLimitAndShareApplies) {
  list.targets = {Member("t", seconds(60))};
  Update(kStart);
  auto choice = table.BeginAttempt(request, {}, kStart + seconds(1), &reason);
  table.RecordRateLimit(*choice, 2, kStart + seconds(1));
  DOUBLES_EQUAL(2, *table.AllowedRate("llm", kStart + seconds(1)), 0);
  table.RecordRateLimit(*choice, 50, kStart + seconds(1));
  DOUBLES_EQUAL(4, *table.AllowedRate("llm", kStart + seconds(1)), 0);
}

// Guards against limits where the configuration has none.
TEST(ColdTargets, NothingChangesWithoutALimit) {
  config = Config(0);
  list.targets = {Member("t", seconds(5))};
  table.SetFleet({});
  Update(kStart);
  LONGS_EQUAL(100, StartsInSecond(kStart)["t"]);
  CHECK_FALSE(table.AllowedRate("llm", kStart).has_value());
}

}  // namespace turmericwinch
