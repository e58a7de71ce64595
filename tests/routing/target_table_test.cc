#include "libs/routing/target_table.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <boost/json/parse.hpp>
#include <set>

#include "libs/base/digest.h"
#include "libs/routing/routing_constants.h"

namespace turmericwinch {

namespace {

using std::chrono::milliseconds;

const TargetTable::TimePoint kStart{std::chrono::seconds(100)};

ConfigSnapshot Config() {
  ConfigSet set;
  auto add = [&](ConfigKind kind, const char* name, const char* fields) {
    set.Add({kind, name, boost::json::parse(fields).as_object(), ""});
  };
  add(ConfigKind::kFailureDomain, "a", R"({"overflow":["b"]})");
  add(ConfigKind::kFailureDomain, "b", R"({"overflow":["a"]})");
  add(ConfigKind::kTargetClass, "fast",
      R"({"service":"llm","tokens_per_second":80,"most_in_flight":4})");
  add(ConfigKind::kTargetClass, "slow",
      R"({"service":"llm","tokens_per_second":20,"most_in_flight":4})");
  return {1, "digest", set};
}

ListedMember Member(const std::string& name,
                    const std::string& domain = "a",
                    const std::string& target_class = "fast",
                    const std::string& incarnation = "1") {
  return {name, domain, "127.0.0.1:1", incarnation, target_class, false};
}

}  // namespace

TEST_GROUP(TargetTable) {
  ConfigSnapshot config = Config();
  TargetTable table{"a", "host"};
  HostList list;
  Reason reason;
  RoutingRequest request{"llm", 100};

  void Update(TargetTable::TimePoint now = kStart) {
    table.Update(list, config, now);
  }
  std::string Choose(TargetTable::TimePoint now = kStart) {
    auto choice = table.BeginAttempt(request, {}, now, &reason);
    return choice ? choice->name : "";
  }
  void RunAttempt(AttemptOutcome outcome) {
    auto choice = table.BeginAttempt(request, {}, kStart, &reason);
    table.EndAttempt(*choice, outcome, {}, kStart);
  }
};

TEST(TargetTable, OwnDomainFirstThenOverflow) {
  list.targets = {Member("far", "b"), Member("near", "a", "slow"),
                  Member("unreachable", "c")};
  Update();
  for (int n = 0; n < 4; ++n)
    STRCMP_EQUAL("near", Choose().c_str());
  for (int n = 0; n < 4; ++n)
    STRCMP_EQUAL("far", Choose().c_str());
  STRCMP_EQUAL("", Choose().c_str());
  CHECK(reason.code == ResultCode::kOverloaded);
}

TEST(TargetTable, ShortPromptDoesNotWaitBehindALongOne) {
  list.targets = {Member("one"), Member("two")};
  Update();
  auto long_prompt = table.BeginAttempt({"llm", 20'000}, {}, kStart, &reason);
  for (int n = 0; n < 3; ++n)
    CHECK(long_prompt->name != Choose());
}

// Guards against a flood at a restarted target: every host sees it idle and
// sends all its requests there. First tokens then took 2.4 s there and 0.3 s at
// the other targets.
TEST(TargetTable, NewTargetIsNotFloodedBeforeItsFirstAnswer) {
  list.targets = {Member("one"), Member("two")};
  Update();
  for (int n = 0; n < 4; ++n)
    RunAttempt(AttemptOutcome::kGood);
  list.targets.push_back(Member("new"));
  Update();
  const auto late = kStart + kNewTargetSlowStart;
  std::vector<TargetChoice> sent;
  for (int n = 0; n < 8; ++n)
    sent.push_back(*table.BeginAttempt(request, {}, late, &reason));
  const auto at_new =
      std::count_if(sent.begin(), sent.end(),
                    [](const TargetChoice& it) { return it.name == "new"; });
  LONGS_EQUAL(kNewTargetMaxInFlight, at_new);
  auto first =
      std::find_if(sent.begin(), sent.end(),
                   [](const TargetChoice& it) { return it.name == "new"; });
  table.RecordFirstToken(*first, milliseconds(20), late + milliseconds(20));
  STRCMP_EQUAL("new", Choose(late + milliseconds(20)).c_str());
}

TEST(TargetTable, NewTargetStartsWithLowWeight) {
  list.targets = {Member("one"), Member("two")};
  Update();
  RunAttempt(AttemptOutcome::kGood);
  list.targets.push_back(Member("new"));
  Update();
  for (int n = 0; n < 6; ++n)
    CHECK(Choose() != "new");
}

// A target that stops or slows down with requests in flight reports no fault;
// only its overdue requests show it.
TEST(TargetTable, TargetWithOverdueRequestIsAvoided) {
  list.targets = {Member("one"), Member("two")};
  Update();
  const RoutingRequest long_request{"llm", 4'000};
  auto overdue = table.BeginAttempt(long_request, {}, kStart, &reason);
  const auto later = kStart + milliseconds(3'000);
  for (int n = 0; n < 4; ++n) {
    auto choice = table.BeginAttempt(request, {}, later, &reason);
    CHECK(choice->name != overdue->name);
  }
  table.EndAttempt(*overdue, AttemptOutcome::kGood, {}, later);
  STRCMP_EQUAL(overdue->name.c_str(), Choose(later).c_str());
}

TEST(TargetTable, TargetsOfNearDomainsAreComparedWithTheOwn) {
  ConfigSet set;
  auto add = [&](ConfigKind kind, const char* name, const char* fields) {
    set.Add({kind, name, boost::json::parse(fields).as_object(), ""});
  };
  add(ConfigKind::kFailureDomain, "a", R"({"near":["b"]})");
  add(ConfigKind::kTargetClass, "fast",
      R"({"service":"llm","tokens_per_second":80,"most_in_flight":64})");
  config = ConfigSnapshot(1, "digest", set);
  list.targets = {Member("own", "a"), Member("near", "b")};
  Update();
  STRCMP_EQUAL("own", Choose().c_str());
  std::set<std::string> names;
  for (int n = 0; n < 8; ++n)
    names.insert(Choose());
  LONGS_EQUAL(2, names.size());
}

TEST(TargetTable, PrefixIsSentToTheSameTarget) {
  for (int n = 0; n < 20; ++n)
    list.targets.push_back(Member("t" + std::to_string(n)));
  Update();
  const RoutingRequest lookup{"llm", 8'000, Hash64("manifest"), 7'900};
  auto first = table.BeginAttempt(lookup, {}, kStart, &reason);
  table.RecordFirstToken(*first, milliseconds(300), kStart);
  table.EndAttempt(*first, AttemptOutcome::kGood, {}, kStart);
  auto second = table.BeginAttempt(lookup, {}, kStart, &reason);
  STRCMP_EQUAL(first->name.c_str(), second->name.c_str());
}

TEST(TargetTable, RestartedTargetHasNoOldState) {
  list.targets = {Member("one")};
  Update();
  auto old = table.BeginAttempt(request, {}, kStart, &reason);
  list.targets = {Member("one", "a", "fast", "2")};
  Update();
  LONGS_EQUAL(0, table.Stats(kStart)[0].in_flight);
  table.BeginAttempt(request, {}, kStart, &reason);
  table.EndAttempt(*old, AttemptOutcome::kLeaving, {}, kStart);
  LONGS_EQUAL(1, table.Stats(kStart)[0].in_flight);
  CHECK(table.Stats(kStart)[0].state == TargetState::kServing);
}

TEST(TargetTable, LeavingTargetGetsNoRequestsBeforeListUpdate) {
  list.targets = {Member("one")};
  Update();
  RunAttempt(AttemptOutcome::kLeaving);
  Update(kStart + milliseconds(1'000));
  STRCMP_EQUAL("", Choose(kStart + milliseconds(1'000)).c_str());
  CHECK(reason.code == ResultCode::kNoTarget);
}

TEST(TargetTable, TargetListedAsLeavingGetsNoRequests) {
  list.targets = {Member("one"), Member("two")};
  list.targets[0].leaving = true;
  Update();
  for (int n = 0; n < 4; ++n)
    STRCMP_EQUAL("two", Choose().c_str());
  STRCMP_EQUAL("", Choose().c_str());
}

TEST(TargetTable, EjectionsLeaveHalfOfTheTargets) {
  for (int n = 0; n < 8; ++n)
    list.targets.push_back(Member("t" + std::to_string(n)));
  Update();
  for (int n = 0; n < 200; ++n)
    RunAttempt(AttemptOutcome::kWrong);
  int ejected = 0;
  for (const TargetStats& it : table.Stats(kStart))
    ejected += it.state == TargetState::kEjected ? 1 : 0;
  LONGS_EQUAL(4, ejected);
  CHECK(!Choose().empty());
}

TEST(TargetTable, OnlyTargetIsTriedWhilePaused) {
  list.targets = {Member("one")};
  Update();
  RunAttempt(AttemptOutcome::kRefused);
  STRCMP_EQUAL("one", Choose().c_str());
}

TEST(TargetTable, ReturningTargetGetsPartOfItsTraffic) {
  list.targets = {Member("one"), Member("two")};
  Update();
  auto choice = table.BeginAttempt(request, {"two"}, kStart, &reason);
  table.EndAttempt(*choice, AttemptOutcome::kRefused, {}, kStart);
  const auto back = kStart + kRefusedPause + milliseconds(1);
  int of_one = 0;
  for (int n = 0; n < 5; ++n)
    of_one += Choose(back) == "one" ? 1 : 0;
  LONGS_EQUAL(1, of_one);
}

TEST(TargetTable, RestartedTargetIsNoLongerLeaving) {
  list.targets = {Member("one")};
  Update();
  RunAttempt(AttemptOutcome::kLeaving);
  STRCMP_EQUAL("", Choose().c_str());
  list.targets = {Member("one", "a", "fast", "2")};
  Update();
  STRCMP_EQUAL("one", Choose().c_str());
}

TEST(TargetTable, SlowTargetIsEjected) {
  for (int n = 0; n < 4; ++n)
    list.targets.push_back(Member("t" + std::to_string(n)));
  Update();
  for (int n = 0; n < 3; ++n) {
    auto choice =
        table.BeginAttempt(request, {"t1", "t2", "t3"}, kStart, &reason);
    table.RecordFirstToken(*choice, std::chrono::seconds(20), kStart);
    table.EndAttempt(*choice, AttemptOutcome::kGood, {}, kStart);
  }
  for (int n = 0; n < kFailuresToEject; ++n)
    Update();
  CHECK(table.Stats(kStart)[0].state == TargetState::kEjected);
}

// A limit counts requests, whatever their length.
TEST(TargetTable, ATargetWithARateLimitIsLeftToLongPrompts) {
  list.targets = {Member("limited"), Member("free")};
  Update();
  const RoutingRequest long_request{"llm", 4'000};
  const RoutingRequest short_request{"llm", 100};
  std::optional<TargetChoice> choice;
  while (!choice || choice->name != "limited")
    choice = table.BeginAttempt(short_request, {}, kStart, &reason);
  table.SetFirstRateShare(1);
  table.RecordRateLimit(*choice, 1, kStart);
  for (int n = 0; n < 20; ++n) {
    auto long_choice = table.BeginAttempt(long_request, {}, kStart, &reason);
    CHECK(!long_choice || long_choice->name == "free");
    if (long_choice)
      table.EndAttempt(*long_choice, AttemptOutcome::kGood, {}, kStart);
  }
  // One request is allowed from here on, and the other target is busy.
  const auto now = kStart + std::chrono::seconds(1);
  choice = table.BeginAttempt(short_request, {}, now, &reason);
  STRCMP_EQUAL("free", choice->name.c_str());
  choice = table.BeginAttempt(long_request, {}, now, &reason);
  STRCMP_EQUAL("limited", choice->name.c_str());
  // Nobody uses the allowance any more.
  choice = table.BeginAttempt(short_request, {"free"},
                              now + std::chrono::seconds(2), &reason);
  STRCMP_EQUAL("limited", choice->name.c_str());
}

TEST(TargetTable, ATargetThatSaysThatItLeavesGetsNoNewRequest) {
  list.targets = {Member("one")};
  Update();
  const auto choice = table.BeginAttempt(request, {}, kStart, &reason);
  CHECK(table.RecordNotice(*choice, {true, milliseconds(0)}, kStart));
  CHECK(!table.RecordNotice(*choice, {true, milliseconds(0)}, kStart));
  table.EndAttempt(*choice, AttemptOutcome::kGood, {}, kStart);
  Update();
  STRCMP_EQUAL("", Choose().c_str());
  list.targets = {Member("one"), Member("two")};
  Update();
  for (int n = 0; n < 3; ++n)
    STRCMP_EQUAL("two", Choose().c_str());
  // It has started anew under its name.
  list.targets = {Member("one", "a", "fast", "2")};
  Update();
  STRCMP_EQUAL("one", Choose().c_str());
}

TEST(TargetTable, ATargetThatAsksForAPauseGetsNoRequestBeforeItsEnd) {
  list.targets = {Member("one")};
  Update();
  const auto choice = table.BeginAttempt(request, {}, kStart, &reason);
  const milliseconds pause(3'000);
  CHECK(table.RecordNotice(*choice, {false, pause}, kStart));
  // An earlier end that comes later does not shorten the pause.
  table.RecordNotice(*choice, {false, milliseconds(10)}, kStart);
  table.EndAttempt(*choice, AttemptOutcome::kGood, {}, kStart);
  STRCMP_EQUAL("", Choose(kStart + pause - milliseconds(1)).c_str());
  CHECK(reason.code == ResultCode::kOverloaded);
  STRCMP_EQUAL("one", Choose(kStart + pause).c_str());
}

}  // namespace turmericwinch
