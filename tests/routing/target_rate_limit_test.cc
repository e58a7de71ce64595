#include "libs/routing/target_rate_limit.h"

#include <CppUTest/TestHarness.h>

namespace turmericwinch {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace

TEST_GROUP(TargetRateLimit) {
  TargetRateLimit limit;
  TargetRateLimit::TimePoint now{seconds(100)};

  // Number of requests that may start in `time`, tried every millisecond.
  int Starts(milliseconds time) {
    int starts = 0;
    for (const auto end = now + time; now < end; now += milliseconds(1)) {
      if (limit.MayStart(now)) {
        limit.RecordStart(now);
        ++starts;
      }
    }
    return starts;
  }
};

TEST(TargetRateLimit, WithoutALimitEveryRequestMayStart) {
  CHECK(limit.MayStart(now));
  CHECK(limit.NextStart(now) == now);
  CHECK(!limit.heard_at());
}

TEST(TargetRateLimit, AHostStartsItsShareOfTheLimit) {
  CHECK(limit.RecordResponse(8, now, now));
  limit.SetShare(0.25, now);
  CHECK(!limit.MayStart(now));
  LONGS_EQUAL(20, Starts(seconds(10)) + (limit.MayStart(now) ? 1 : 0));
}

TEST(TargetRateLimit, UnusedAllowanceIsSavedUpForAShortTimeOnly) {
  limit.RecordResponse(8, now, now);
  limit.SetShare(0.25, now);
  CHECK(!limit.IsUnderused(now));
  now += seconds(60);
  CHECK(limit.IsUnderused(now));
  // One request, and half a second of two requests a second.
  limit.RecordStart(now);
  CHECK(!limit.IsUnderused(now));
  CHECK(limit.MayStart(now));
  limit.RecordStart(now);
  CHECK(!limit.MayStart(now));
  CHECK(limit.NextStart(now) == now + milliseconds(500));
}

TEST(TargetRateLimit, WithoutAShareNoRequestMayStart) {
  limit.RecordResponse(8, now, now);
  now += seconds(60);
  CHECK(!limit.MayStart(now));
  CHECK(!limit.NextStart(now));
}

TEST(TargetRateLimit, ALimitHoldsUntilALaterResponseNamesNone) {
  const auto before = now;
  now += seconds(1);
  CHECK(limit.RecordResponse(8, now, now));
  CHECK(!limit.RecordResponse(8, now, now));
  // The response to a request from before the limit was named.
  CHECK(!limit.RecordResponse(std::nullopt, before, now + seconds(1)));
  CHECK(limit.limit() == 8);
  CHECK(limit.RecordResponse(4, now, now + seconds(1)));
  CHECK(limit.RecordResponse(std::nullopt, now + seconds(2), now + seconds(3)));
  CHECK(!limit.limit());
  CHECK(limit.MayStart(now + seconds(3)));
}

TEST(TargetRateLimit, OnlyNewerNoticesOfOtherHostsCount) {
  limit.RecordResponse(8, now, now);
  CHECK(!limit.RecordNotice(4, now - seconds(1), now + seconds(1)));
  CHECK(limit.limit() == 8);
  CHECK(limit.RecordNotice(4, now + seconds(1), now + seconds(2)));
  CHECK(limit.limit() == 4);
  CHECK(!limit.RecordNotice(4, now + seconds(2), now + seconds(3)));
  CHECK(limit.heard_at() == now + seconds(2));
  CHECK(limit.RecordNotice(std::nullopt, now + seconds(4), now + seconds(4)));
  CHECK(!limit.limit());
}

}  // namespace turmericwinch
