#include "libs/routing/cold_pace.h"

#include <CppUTest/TestHarness.h>

#include <random>

namespace turmericwinch {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ColdPace::TimePoint kStart{seconds(100)};

}  // namespace

TEST_GROUP(ColdPace) {
  ColdPace pace;

  // Starts within the second from `from` on when a request always waits.
  int StartsInSecond(ColdPace::TimePoint from) {
    int starts = 0;
    for (auto now = from; now < from + seconds(1); now += milliseconds(1)) {
      if (!pace.MayStart(now))
        continue;
      pace.RecordStart(now);
      ++starts;
    }
    return starts;
  }
};

TEST(ColdPace, StartsAreSpaced) {
  pace.SetShare(3);
  pace.RecordReport(seconds(10), kStart);
  CHECK(pace.MayStart(kStart));
  pace.RecordStart(kStart);
  CHECK_FALSE(pace.MayStart(kStart + milliseconds(349)));
  CHECK(pace.MayStart(kStart + milliseconds(350)));
  LONGS_EQUAL(3, StartsInSecond(kStart + seconds(2)));
}

// Guards against a burst of starts that an idle host has saved up.
TEST(ColdPace, NothingIsSavedUp) {
  pace.SetShare(2);
  pace.RecordReport(seconds(10), kStart);
  pace.RecordStart(kStart);
  LONGS_EQUAL(2, StartsInSecond(kStart + seconds(8)));
}

TEST(ColdPace, ReportReplacesTheOneBefore) {
  pace.SetShare(1);
  pace.RecordReport(seconds(10), kStart);
  pace.RecordReport(seconds(2), kStart + seconds(1));
  CHECK(pace.IsCold(kStart + milliseconds(2'999)));
  CHECK_FALSE(pace.IsCold(kStart + seconds(3)));
  pace.RecordReport(seconds(0), kStart + seconds(2));
  CHECK_FALSE(pace.IsCold(kStart + seconds(2)));
  pace.RecordReport(seconds(4), kStart + seconds(60));
  CHECK(pace.IsCold(kStart + seconds(63)));
}

// Guards against a registration written before a restart that ends the
// presumption.
TEST(ColdPace, PresumptionOutlastsAReportOfZero) {
  pace.PresumeCold(seconds(8), kStart);
  pace.RecordReport(seconds(0), kStart + seconds(1));
  CHECK(pace.IsCold(kStart + milliseconds(7'999)));
  CHECK_FALSE(pace.IsCold(kStart + seconds(8)));
  pace.PresumeCold(seconds(1), kStart + seconds(1));
  CHECK(pace.IsCold(kStart + seconds(7)));
  ColdPace next;
  next.KeepPresumption(pace);
  next.RecordReport(seconds(0), kStart + seconds(1));
  CHECK(next.IsCold(kStart + seconds(7)));
}

TEST(ColdPace, UnlimitedWhenWarmOrWithoutALimit) {
  pace.SetShare(0);
  LONGS_EQUAL(1'000, StartsInSecond(kStart));
  pace.RecordReport(seconds(10), kStart + seconds(1));
  LONGS_EQUAL(0, StartsInSecond(kStart + seconds(1)));
  pace.SetUnlimited();
  LONGS_EQUAL(1'000, StartsInSecond(kStart + seconds(2)));
  CHECK(pace.IsCold(kStart + seconds(2)));
}

// Guards against a waiting request that wakes up in the past or long after the
// target is warm.
TEST(ColdPace, NextStartIsWithinTheColdTime) {
  std::mt19937 random(1);
  for (int n = 0; n < 10'000; ++n) {
    ColdPace it;
    auto now = kStart + milliseconds(random() % 1'000);
    it.RecordReport(milliseconds(random() % 3'000), kStart);
    it.PresumeCold(milliseconds(random() % 3'000), kStart);
    if (random() % 4 != 0)
      it.SetShare(static_cast<int>(random() % 5));
    if (random() % 2 != 0)
      it.RecordStart(now - milliseconds(random() % 500));
    const auto next = it.NextStart(now);
    CHECK(next >= now);
    CHECK(next == now || next <= it.ColdUntil());
    CHECK(it.MayStart(next));
    CHECK_EQUAL(next == now, it.MayStart(now));
  }
}

// Guards against an overflow of the time by a registration with any number.
TEST(ColdPace, HugeTimesAreBounded) {
  pace.RecordReport(milliseconds::max(), kStart);
  CHECK(pace.IsCold(kStart + seconds(60)));
  pace.RecordReport(seconds(0), kStart);
  pace.PresumeCold(milliseconds::max(), kStart);
  CHECK(pace.IsCold(kStart + seconds(60)));
  CHECK_FALSE(pace.IsCold(kStart + std::chrono::hours(2)));
}

}  // namespace turmericwinch
