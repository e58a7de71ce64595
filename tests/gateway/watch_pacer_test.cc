#include "libs/gateway/watch_pacer.h"

#include <CppUTest/TestHarness.h>

namespace turmericwinch {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kInterval{200};
constexpr milliseconds kCallTime{4};
const WatchPacer::TimePoint kStart{std::chrono::seconds(100)};

}  // namespace

TEST_GROUP(WatchPacer) {
  WatchPacer pacer{kInterval};
};

TEST(WatchPacer, TargetsThatStartTogetherDoNotCostACallEach) {
  constexpr int kTargets = 140;
  constexpr milliseconds kPause{30};
  const auto end = kStart + kTargets * kPause;
  int calls = 0;
  // The next target to start ends a call.
  for (auto now = kStart; now < end; ++calls)
    now = pacer.NextStart(now) + kPause + kCallTime;
  CHECK(calls <= (end - kStart) / kInterval + 1);
}

TEST(WatchPacer, CallAfterAQuietTimeStartsAtOnce) {
  CHECK(pacer.NextStart(kStart) == kStart);
  CHECK(pacer.NextStart(kStart + kInterval) == kStart + kInterval);
}

TEST(WatchPacer, CallSoonAfterAnotherWaitsForTheRestOfTheInterval) {
  pacer.NextStart(kStart);
  CHECK(pacer.NextStart(kStart + kCallTime) == kStart + kInterval);
  CHECK(pacer.NextStart(kStart + kInterval + kCallTime) ==
        kStart + 2 * kInterval);
}

}  // namespace turmericwinch
