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

TEST(ListedTargets, AMissingEntryIsRemovedAtOnceWhileTheStoreIsAvailable) {
  targets.UpdateFromList(ListOf({one, two}), ListOrigin::kAvailableStore,
                         start);
  LONGS_EQUAL(
      1,
      targets.UpdateFromList(ListOf({one}), ListOrigin::kAvailableStore, start)
          .size());
  CHECK(!Has("i-2"));
}

TEST(ListedTargets, AnEntryThatExpiredInAnOutageStaysForTheGracePeriod) {
  targets.UpdateFromList(ListOf({one, two}), ListOrigin::kAvailableStore,
                         start);
  targets.UpdateFromList(ListOf({one}), ListOrigin::kOutage, start);
  CHECK(Has("i-2"));
  CHECK(targets.UpdateTimed(start + kExpiredTargetGracePeriod - milliseconds(1))
            .empty());
  CHECK(Has("i-2"));
  LONGS_EQUAL(1, targets.UpdateTimed(start + kExpiredTargetGracePeriod).size());
  CHECK(!Has("i-2"));
  CHECK(!targets.has_expired_entries());
}

// Guards against a fault found in a simulated day of okonkwo-racks (seed
// fresh-74f3): a change of another entry made an expired entry permanent, so
// the target got requests after it had left.
TEST(ListedTargets, ChangesOfOtherEntriesDoNotAffectTheGracePeriod) {
  targets.UpdateFromList(ListOf({one, two}), ListOrigin::kAvailableStore,
                         start);
  targets.UpdateFromList(ListOf({one}), ListOrigin::kOutage, start);
  targets.UpdateFromChanges({Added(three)}, start);
  CHECK(Has("i-2"));
  targets.UpdateTimed(start + kExpiredTargetGracePeriod);
  CHECK(!Has("i-2"));
}

TEST(ListedTargets, ASecondOutageDoesNotExtendTheGracePeriod) {
  targets.UpdateFromList(ListOf({one, two}), ListOrigin::kAvailableStore,
                         start);
  targets.UpdateFromList(ListOf({one}), ListOrigin::kOutage, start);
  targets.UpdateFromList(ListOf({one}), ListOrigin::kOutage,
                         start + kExpiredTargetGracePeriod / 2);
  targets.UpdateTimed(start + kExpiredTargetGracePeriod);
  CHECK(!Has("i-2"));
}

TEST(ListedTargets, AnEntryThatIsListedAgainStays) {
  targets.UpdateFromList(ListOf({one, two}), ListOrigin::kAvailableStore,
                         start);
  targets.UpdateFromList(ListOf({one}), ListOrigin::kOutage, start);
  targets.UpdateFromChanges({Added(two)}, start);
  targets.UpdateTimed(start + kExpiredTargetGracePeriod);
  CHECK(Has("i-2"));
}

TEST(ListedTargets, AnAddressTakenOverByANewTargetRemovesTheExpiredEntry) {
  targets.UpdateFromList(ListOf({one, two}), ListOrigin::kAvailableStore,
                         start);
  targets.UpdateFromList(ListOf({one}), ListOrigin::kOutage, start);
  targets.UpdateFromChanges({Added(Target("i-9", two.address))}, start);
  CHECK(!Has("i-2"));
  CHECK(Has("i-9"));
}

TEST(ListedTargets, AnEntryDeletedByAChangeIsRemoved) {
  targets.UpdateFromList(ListOf({one, two}), ListOrigin::kOutage, start);
  targets.UpdateFromChanges({{true, true, two}}, start);
  CHECK(!Has("i-2"));
}

// The copy is of a time before the target reported that it leaves.
TEST(ListedTargets, ARestoredStoreDoesNotBringALeavingTargetBack) {
  ListedMember leaving = two;
  leaving.leaving = true;
  targets.UpdateFromList(ListOf({one, leaving}), ListOrigin::kAvailableStore,
                         start);
  CHECK(
      targets
          .UpdateFromList(ListOf({one, two}), ListOrigin::kRestoredStore, start)
          .empty());
  CHECK(targets.list().targets[1].leaving);
  two.incarnation = "2";
  targets.UpdateFromList(ListOf({one, two}), ListOrigin::kRestoredStore, start);
  CHECK(!targets.list().targets[1].leaving);
}

TEST(ListedTargets, ARestoredStoreBringsARemovedTargetBackOnlyIfItLives) {
  targets.UpdateFromList(ListOf({one, two, three}), ListOrigin::kAvailableStore,
                         start);
  targets.UpdateFromList(ListOf({one}), ListOrigin::kAvailableStore, start);
  targets.UpdateFromList(ListOf({one, two, three}), ListOrigin::kRestoredStore,
                         start);
  CHECK(!Has("i-2"));
  CHECK(targets.has_timed_entries());
  // The store has missed its heartbeats.
  HostListChange removal{true, true, two};
  targets.UpdateFromChanges({removal}, start);
  targets.UpdateTimed(start + kRestoredEntryTime);
  CHECK(!Has("i-2"));
  CHECK(Has("i-3"));
}

}  // namespace turmericwinch
