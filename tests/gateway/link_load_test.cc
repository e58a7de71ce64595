#include "libs/gateway/link_load.h"

#include <CppUTest/TestHarness.h>

namespace turmericwinch {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// 10 Mbit/s.
constexpr double kLink = 1.25e6;
constexpr std::size_t kBody = 5'000;
const MonotonicTime kStart{seconds(100)};

}  // namespace

TEST_GROUP(LinkLoad) {
  LinkLoad load{kLink};
  MonotonicTime now = kStart;

  // Receives and forwards `requests` a second for `time`. Returns whether the
  // link is saturated then.
  bool Forward(int requests, seconds time) {
    for (int n = 0; n < requests * time.count(); ++n) {
      now += milliseconds(1'000 / requests);
      load.RecordReceived(kBody, now);
      load.RecordSent(kBody, now);
      load.Update(now);
    }
    return load.is_saturated();
  }
};

TEST(LinkLoad, CallersOfAFullLinkAreSentAway) {
  CHECK(!Forward(50, seconds(20)));
  CHECK(Forward(200, seconds(3)));
}

TEST(LinkLoad, StaysSaturatedUntilCallersHaveMoved) {
  Forward(200, seconds(5));
  CHECK(Forward(100, seconds(20)));
  CHECK(!Forward(50, seconds(20)));
}

TEST(LinkLoad, ShortPauseDoesNotBringCallersBack) {
  Forward(200, seconds(2));
  now += seconds(2);
  CHECK(!load.Update(now).has_value());
  CHECK(load.is_saturated());
  now += kMinSaturatedTime;
  CHECK(load.Update(now) == false);
  CHECK(!load.is_saturated());
}

TEST(LinkLoad, CallersThatReturnAtOnceAreSentAwayForLonger) {
  Forward(200, seconds(2));
  CHECK(!Forward(50, kMinSaturatedTime + seconds(5)));
  Forward(200, seconds(2));
  CHECK(Forward(50, kMinSaturatedTime + seconds(2)));
  CHECK(!Forward(50, kMinSaturatedTime));
  Forward(50, kSaturationRelapseTime);
  Forward(200, seconds(2));
  CHECK(!Forward(50, kMinSaturatedTime + seconds(2)));
}

TEST(LinkLoad, LinkOfUnknownBandwidthIsNeverSaturated) {
  LinkLoad unknown{0};
  for (int n = 0; n < 10'000; ++n)
    unknown.RecordReceived(kBody, kStart);
  CHECK(!unknown.Update(kStart).has_value());
}

}  // namespace turmericwinch
