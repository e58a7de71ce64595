#include "libs/delivery/quarantine.h"

#include <CppUTest/TestHarness.h>

#include "libs/delivery/delivery_constants.h"
#include "libs/delivery/notice_rate_limiter.h"
#include "libs/delivery/retry_budget.h"

namespace turmericwinch {

namespace {

const Quarantine::Time kStart{std::chrono::hours(1)};
constexpr std::chrono::seconds kLater{10};

}  // namespace

TEST_GROUP(Quarantine){};

TEST(Quarantine, TwoLostTargetsCauseAVerdict) {
  Quarantine quarantine;
  CHECK(!quarantine.OnLost("r", "a", kStart).has_value());
  CHECK(!quarantine.IsQuarantined("r", kStart));
  CHECK(quarantine.OnLost("r", "b", kStart).has_value());
  CHECK(quarantine.IsQuarantined("r", kStart));
  CHECK(!quarantine.IsQuarantined("r", kStart + kQuarantineHold));
  CHECK(!quarantine.IsQuarantined("other", kStart));
}

TEST(Quarantine, AnswerClearsASuspect) {
  Quarantine quarantine;
  quarantine.OnLost("r", "a", kStart);
  quarantine.OnLost("bystander", "a", kStart);
  quarantine.OnAnswered("bystander", kStart);
  CHECK(!quarantine.OnLost("bystander", "c", kStart + kLater).has_value());
  CHECK(quarantine.OnLost("r", "b", kStart + kLater).has_value());
  CHECK(quarantine.IsQuarantined("r", kStart + kLater));
  CHECK(!quarantine.IsQuarantined("bystander", kStart + kLater));
}

TEST(Quarantine, RequestsLostTogetherTwiceAreRefusedBriefly) {
  Quarantine quarantine;
  for (const char* target : {"a", "b"}) {
    CHECK(!quarantine.OnLost("bystander", target, kStart).has_value() ||
          target[0] == 'b');
    CHECK(!quarantine.OnLost("r", target, kStart).has_value());
  }
  CHECK(quarantine.IsQuarantined("bystander", kStart));
  CHECK(quarantine.IsQuarantined("r", kStart));
  const Quarantine::Time later = kStart + kUncertainQuarantineHold;
  CHECK(!quarantine.IsQuarantined("bystander", later));
  CHECK(!quarantine.IsQuarantined("r", later));
  quarantine.OnAnswered("bystander", later);
  CHECK(quarantine.OnLost("r", "c", later).has_value());
  CHECK(quarantine.IsQuarantined("r", later + kUncertainQuarantineHold));
}

// On a busy service each target that a request crashes runs others, too.
TEST(Quarantine, ARequestThatIsLostAgainAndAgainIsRefusedForLong) {
  Quarantine quarantine;
  Quarantine::Time now = kStart;
  for (const std::string target : {"a", "b", "c"}) {
    const Quarantine::Time sent = now;
    now += kLater;
    quarantine.OnLost("bystander of " + target, target, now, sent);
    quarantine.OnLost("r", target, now, sent);
  }
  CHECK(quarantine.IsQuarantined("r", now + kUncertainQuarantineHold));
  CHECK(!quarantine.IsQuarantined("bystander of c", now));
}

// A loss of power ends all targets that run the same sound request.
TEST(Quarantine, ARequestThatIsLostWithManyTargetsAtOnceIsRefusedBriefly) {
  Quarantine quarantine;
  for (const char* target : {"a", "b", "c", "d"}) {
    quarantine.OnLost("r", target, kStart, kStart - kLater);
    quarantine.OnLost("bystander", target, kStart, kStart - kLater);
  }
  CHECK(!quarantine.IsQuarantined("r", kStart + kUncertainQuarantineHold));
}

// Another target fails after the loss of power, and then one more.
TEST(Quarantine, LossesAtTheSameTimeCountOnce) {
  Quarantine quarantine;
  Quarantine::Time now = kStart;
  Quarantine::Time sent = kStart - kLater;
  for (const char* target : {"a", "b", "c", "d"}) {
    quarantine.OnLost("r", target, now, sent);
    quarantine.OnLost("bystander", target, now, sent);
  }
  for (const char* target : {"e", "f"}) {
    CHECK(!quarantine.IsQuarantined("r", now + kUncertainQuarantineHold));
    sent = now + kLater / 2;
    now += kLater;
    quarantine.OnLost("r", target, now, sent);
    quarantine.OnLost("bystander", target, now, sent);
  }
  CHECK(quarantine.IsQuarantined("r", now + kUncertainQuarantineHold));
}

TEST(Quarantine, EachCrashAfterAnUncertainHoldRefusesForLonger) {
  Quarantine quarantine;
  Quarantine::Time now = kStart;
  std::chrono::milliseconds hold = kUncertainQuarantineHold;
  for (const char* target : {"a", "b"}) {
    quarantine.OnLost("bystander", target, now);
    quarantine.OnLost("r", target, now);
  }
  for (const char* target : {"c", "d", "e"}) {
    now += hold;
    quarantine.Expire(now);
    CHECK(!quarantine.IsQuarantined("r", now));
    quarantine.OnLost("bystander", target, now);
    quarantine.OnLost("r", target, now);
    CHECK(quarantine.IsQuarantined("r", now + hold));
    hold *= 2;
  }
}

TEST(Quarantine, RepeatedNoticeOfOneLossCountsOnce) {
  Quarantine quarantine;
  quarantine.OnLost("r", "a", kStart);
  CHECK(!quarantine.OnLost("r", "a", kStart).has_value());
  CHECK(!quarantine.IsQuarantined("r", kStart));
  // The target returned and was lost again.
  CHECK(quarantine.OnLost("r", "a", kStart + kLater).has_value());
}

TEST(Quarantine, NoticeRateIsBounded) {
  NoticeRateLimiter limiter;
  int sent = 0;
  for (int n = 0; n < 1'000; ++n)
    sent += limiter.TryAcquire(kStart) ? 1 : 0;
  LONGS_EQUAL(kNoticeBurst, sent);
  CHECK(!limiter.TryAcquire(kStart + kNoticeInterval / 2));
  CHECK(limiter.TryAcquire(kStart + kNoticeInterval));
  CHECK(!limiter.TryAcquire(kStart + kNoticeInterval));
  sent = 0;
  for (int n = 0; n < 1'000; ++n)
    sent += limiter.TryAcquire(kStart + std::chrono::hours(1)) ? 1 : 0;
  LONGS_EQUAL(kNoticeBurst, sent);
}

TEST(Quarantine, VerdictsOfOtherHostsExpire) {
  Quarantine quarantine;
  quarantine.AddVerdict({"r", std::chrono::seconds(30)}, kStart);
  CHECK(quarantine.IsQuarantined("r", kStart));
  quarantine.Expire(kStart + std::chrono::seconds(30));
  LONGS_EQUAL(0, quarantine.suspects());
}

TEST(Quarantine, MemoryIsBounded) {
  Quarantine quarantine;
  for (std::size_t n = 0; n < kMaxSuspects + 10; ++n)
    quarantine.OnLost(std::to_string(n), "a", kStart);
  LONGS_EQUAL(kMaxSuspects, quarantine.suspects());
}

TEST(Quarantine, RetriesAreAFractionOfTraffic) {
  RetryBudget budget;
  while (budget.TakeRetry()) {
  }
  constexpr int kRequests = 1'000;
  int retries = 0;
  for (int n = 0; n < kRequests; ++n) {
    budget.OnRequest();
    retries += budget.TakeRetry() ? 1 : 0;
  }
  LONGS_EQUAL(kRequests / 5, retries);
}

}  // namespace turmericwinch
