#include "libs/gateway/listed_targets.h"

#include <CppUTest/TestHarness.h>

#include "libs/gateway/gateway_constants.h"

namespace turmericwinch {

namespace {

using std::chrono::milliseconds;

ListedMember Target(const std::string& name, const std::string& address) {
  return {name, "dk-east-a", address, "1", "llm", false};
}

HostList ListOf(std::vector<ListedMember> targets) {
  HostList list;
  list.targets = std::move(targets);
  return list;
}

HostListChange Added(const ListedMember& member) {
  return {true, false, member};
}

}  // namespace

TEST_GROUP(ListedTargets) {
  ListedTargets targets;
  ListedTargets::TimePoint start{std::chrono::hours(1)};
  ListedMember one = Target("i-1", "10.0.0.1:1");
  ListedMember two = Target("i-2", "10.0.0.2:1");
  ListedMember three = Target("i-3", "10.0.0.3:1");

  bool Has(const std::string& name) {
    for (const ListedMember& it : targets.list().targets) {
      if (it.name == name)
        return true;
    }
    return false;
  }
};

TEST(ListedTargets, AMissingEntryIsGoneAtOnceWhileTheStoreAnswers) {
  targets.TakeWhole(ListOf({one, two}), false, start);
  LONGS_EQUAL(1, targets.TakeWhole(ListOf({one}), false, start).size());
  CHECK(!Has("i-2"));
}

TEST(ListedTargets, AnEntryThatLapsedInAnOutageStaysForTheHold) {
  targets.TakeWhole(ListOf({one, two}), false, start);
  targets.TakeWhole(ListOf({one}), true, start);
  CHECK(Has("i-2"));
  CHECK(targets.DropLapsed(start + kLapsedHold - milliseconds(1)).empty());
  CHECK(Has("i-2"));
  LONGS_EQUAL(1, targets.DropLapsed(start + kLapsedHold).size());
  CHECK(!Has("i-2"));
  CHECK(!targets.has_lapsed());
}

// Found by a drawn day of okonkwo-racks (fresh-74f3): a change of another entry
// made the lapsed one permanent, and it got requests after it had left.
TEST(ListedTargets, ChangesOfOthersDoNotEndTheHold) {
  targets.TakeWhole(ListOf({one, two}), false, start);
  targets.TakeWhole(ListOf({one}), true, start);
  targets.TakeChanges({Added(three)});
  CHECK(Has("i-2"));
  targets.DropLapsed(start + kLapsedHold);
  CHECK(!Has("i-2"));
}

TEST(ListedTargets, ASecondOutageDoesNotProlongTheHold) {
  targets.TakeWhole(ListOf({one, two}), false, start);
  targets.TakeWhole(ListOf({one}), true, start);
  targets.TakeWhole(ListOf({one}), true, start + kLapsedHold / 2);
  targets.DropLapsed(start + kLapsedHold);
  CHECK(!Has("i-2"));
}

TEST(ListedTargets, AnEntryThatIsBackStays) {
  targets.TakeWhole(ListOf({one, two}), false, start);
  targets.TakeWhole(ListOf({one}), true, start);
  targets.TakeChanges({Added(two)});
  targets.DropLapsed(start + kLapsedHold);
  CHECK(Has("i-2"));
}

TEST(ListedTargets, AnAddressWithANewOwnerEndsTheHoldOfTheOldOne) {
  targets.TakeWhole(ListOf({one, two}), false, start);
  targets.TakeWhole(ListOf({one}), true, start);
  targets.TakeChanges({Added(Target("i-9", two.address))});
  CHECK(!Has("i-2"));
  CHECK(Has("i-9"));
}

TEST(ListedTargets, AnEntryDeletedByAChangeIsGone) {
  targets.TakeWhole(ListOf({one, two}), true, start);
  targets.TakeChanges({{true, true, two}});
  CHECK(!Has("i-2"));
}

}  // namespace turmericwinch
