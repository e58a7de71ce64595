#include "libs/budget/account_writes.h"

#include <CppUTest/TestHarness.h>

namespace turmericwinch {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kLargeFleet = 300;

}  // namespace

TEST_GROUP(AccountWrites) {
  AccountWrites writes;
  MonotonicTime now{std::chrono::hours(1)};
};

TEST(AccountWrites, HostsOfASmallFleetDrawWhenTheyNeedTokens) {
  writes.SetFleet(9, false);
  CHECK(writes.MayDrawDirectly(now));
  CHECK(writes.MayDrawDirectly(now));
  LONGS_EQUAL(kConflictPause.count(), writes.MaxConflictPause(0).count());
}

// All hosts without a stock together must leave room for those that keep one.
TEST(AccountWrites, HostsOfALargeFleetWithoutAStockDrawRarely) {
  writes.SetFleet(kLargeFleet, false);
  CHECK(writes.MayDrawDirectly(now));
  CHECK(!writes.MayDrawDirectly(now + milliseconds(1'000)));
  CHECK(writes.MayDrawDirectly(now + kDirectDrawPausePerHost *
                                         static_cast<int>(kLargeFleet)));
  CHECK(writes.MaxConflictPause(0) >=
        kConflictPausePerHost * static_cast<int>(kLargeFleet));
}

TEST(AccountWrites, HostsForWhichOthersWaitWriteAtOnce) {
  writes.SetFleet(kLargeFleet, true);
  CHECK(writes.MayDrawDirectly(now));
  CHECK(writes.MayDrawDirectly(now));
  LONGS_EQUAL(kConflictPause.count(), writes.MaxConflictPause(0).count());
  CHECK(writes.MaxConflictPause(100) ==
        kConflictPause * (1 << kMaxConflictPauseDoublings));
}

}  // namespace turmericwinch
