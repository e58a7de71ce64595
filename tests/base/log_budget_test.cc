#include "libs/base/log_budget.h"

#include <CppUTest/TestHarness.h>

namespace turmericwinch {

namespace {

using std::chrono::seconds;

int Written(LogBudget& budget, LogBudget::TimePoint now, int lines) {
  int written = 0;
  for (int n = 0; n < lines; ++n)
    written += budget.Take(now);
  return written;
}

}  // namespace

TEST_GROUP(LogBudget) {
  LogBudget budget;
  LogBudget::TimePoint start{seconds(100)};
};

TEST(LogBudget, AFloodIsBoundedAndCounted) {
  LONGS_EQUAL(kLogMostSaved, Written(budget, start, 10'000));
  LONGS_EQUAL(10'000 - kLogMostSaved, budget.TakeDropped());
  LONGS_EQUAL(0, budget.TakeDropped());
}

TEST(LogBudget, LinesComeBackWithTime) {
  Written(budget, start, 10'000);
  LONGS_EQUAL(kLogLinesPerSecond, Written(budget, start + seconds(1), 10'000));
  LONGS_EQUAL(kLogMostSaved, Written(budget, start + seconds(60), 10'000));
}

}  // namespace turmericwinch
