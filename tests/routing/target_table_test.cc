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
  RoutingRequest wish{"llm", 100};

  void Update(TargetTable::TimePoint now = kStart) {
    table.Update(list, config, now);
  }
  std::string Choose(TargetTable::TimePoint now = kStart) {
    auto choice = table.BeginAttempt(wish, {}, now, &reason);
    return choice ? choice->name : "";
  }
  void Answer(AttemptOutcome answer) {
    auto choice = table.BeginAttempt(wish, {}, kStart, &reason);
    table.EndAttempt(*choice, answer, {}, kStart);
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
  auto long_one = table.BeginAttempt({"llm", 20'000}, {}, kStart, &reason);
  for (int n = 0; n < 3; ++n)
    CHECK(long_one->name != Choose());
}

// Load: a target restarts, and every host sends it all that it has, as it shows
// no work; first tokens took 2.4 s there and 0.3 s elsewhere.
TEST(TargetTable, ANewcomerIsNotFloodedBeforeItsFirstAnswer) {
  list.targets = {Member("one"), Member("two")};
  Update();
  for (int n = 0; n < 4; ++n)
    Answer(AttemptOutcome::kGood);
  list.targets.push_back(Member("new"));
  Update();
  const auto late = kStart + kNewcomerStart;
  std::vector<TargetChoice> sent;
  for (int n = 0; n < 8; ++n)
    sent.push_back(*table.BeginAttempt(wish, {}, late, &reason));
  const auto at_new =
      std::count_if(sent.begin(), sent.end(),
                    [](const TargetChoice& it) { return it.name == "new"; });
  LONGS_EQUAL(kNewcomerInFlight, at_new);
  auto first =
      std::find_if(sent.begin(), sent.end(),
                   [](const TargetChoice& it) { return it.name == "new"; });
  table.RecordFirstToken(*first, milliseconds(20), late + milliseconds(20));
  STRCMP_EQUAL("new", Choose(late + milliseconds(20)).c_str());
}

TEST(TargetTable, TheShareOfANewcomerGrows) {
  list.targets = {Member("one"), Member("two")};
  Update();
  Answer(AttemptOutcome::kGood);
  list.targets.push_back(Member("new"));
  Update();
  for (int n = 0; n < 6; ++n)
    CHECK(Choose() != "new");
}

// Load: a target goes dark or slow with requests at it; nothing is heard of it.
TEST(TargetTable, ATargetWithAnOverdueRequestIsAvoided) {
  list.targets = {Member("one"), Member("two")};
  Update();
  const RoutingRequest long_wish{"llm", 4'000};
  auto overdue = table.BeginAttempt(long_wish, {}, kStart, &reason);
  const auto later = kStart + milliseconds(3'000);
  for (int n = 0; n < 4; ++n) {
    auto choice = table.BeginAttempt(wish, {}, later, &reason);
    CHECK(choice->name != overdue->name);
  }
  table.EndAttempt(*overdue, AttemptOutcome::kGood, {}, later);
  STRCMP_EQUAL(overdue->name.c_str(), Choose(later).c_str());
}

TEST(TargetTable, TargetsOfNearDomainsAreWeighedWithTheOwn) {
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

TEST(TargetTable, PrefixGoesWhereItWasSent) {
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

TEST(TargetTable, RestartedTargetIsANewOne) {
  list.targets = {Member("one")};
  Update();
  auto old = table.BeginAttempt(wish, {}, kStart, &reason);
  list.targets = {Member("one", "a", "fast", "2")};
  Update();
  LONGS_EQUAL(0, table.Stats(kStart)[0].in_flight);
  table.BeginAttempt(wish, {}, kStart, &reason);
  table.EndAttempt(*old, AttemptOutcome::kLeaving, {}, kStart);
  LONGS_EQUAL(1, table.Stats(kStart)[0].in_flight);
  CHECK(table.Stats(kStart)[0].state == TargetState::kServing);
}

TEST(TargetTable, LeavingTargetGetsNothingThoughTheListLags) {
  list.targets = {Member("one")};
  Update();
  Answer(AttemptOutcome::kLeaving);
  Update(kStart + milliseconds(1'000));
  STRCMP_EQUAL("", Choose(kStart + milliseconds(1'000)).c_str());
  CHECK(reason.code == ResultCode::kNoTarget);
}

TEST(TargetTable, ListedAsLeavingGetsNothing) {
  list.targets = {Member("one"), Member("two")};
  list.targets[0].leaving = true;
  Update();
  for (int n = 0; n < 4; ++n)
    STRCMP_EQUAL("two", Choose().c_str());
  STRCMP_EQUAL("", Choose().c_str());
}

TEST(TargetTable, DetectorNeverEmptiesAService) {
  for (int n = 0; n < 8; ++n)
    list.targets.push_back(Member("t" + std::to_string(n)));
  Update();
  for (int n = 0; n < 200; ++n)
    Answer(AttemptOutcome::kWrong);
  int ejected = 0;
  for (const TargetStats& it : table.Stats(kStart))
    ejected += it.state == TargetState::kEjected ? 1 : 0;
  LONGS_EQUAL(4, ejected);
  CHECK(!Choose().empty());
}

TEST(TargetTable, LastTargetIsTriedThoughItIsPaused) {
  list.targets = {Member("one")};
  Update();
  Answer(AttemptOutcome::kRefused);
  STRCMP_EQUAL("one", Choose().c_str());
}

TEST(TargetTable, ReturningTargetGetsAPartOfItsLoad) {
  list.targets = {Member("one"), Member("two")};
  Update();
  auto choice = table.BeginAttempt(wish, {"two"}, kStart, &reason);
  table.EndAttempt(*choice, AttemptOutcome::kRefused, {}, kStart);
  const auto back = kStart + kRefusedPause + milliseconds(1);
  int of_one = 0;
  for (int n = 0; n < 5; ++n)
    of_one += Choose(back) == "one" ? 1 : 0;
  LONGS_EQUAL(1, of_one);
}

TEST(TargetTable, LeavingAnswerOfARestartedTargetIsForgotten) {
  list.targets = {Member("one")};
  Update();
  Answer(AttemptOutcome::kLeaving);
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
    auto choice = table.BeginAttempt(wish, {"t1", "t2", "t3"}, kStart, &reason);
    table.RecordFirstToken(*choice, std::chrono::seconds(20), kStart);
    table.EndAttempt(*choice, AttemptOutcome::kGood, {}, kStart);
  }
  for (int n = 0; n < kFailuresToEject; ++n)
    Update();
  CHECK(table.Stats(kStart)[0].state == TargetState::kEjected);
}

}  // namespace turmericwinch
