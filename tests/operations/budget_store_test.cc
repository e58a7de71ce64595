#include "libs/operations/budget_store.h"

#include <CppUTest/TestHarness.h>

#include <limits>

#include "support/memory_platform.h"

namespace turmericwinch {

namespace {

std::int64_t ToppedUp(MemoryPlatform& platform) {
  Reason reason;
  auto state = RunToEnd(FetchBudget(platform, "b", &reason));
  CHECK(state.has_value());
  return state ? state->account.topped_up : -1;
}

}  // namespace

TEST_GROUP(BudgetStore) {
  MemoryPlatform platform;
  Reason reason;

  std::optional<std::int64_t> Add(std::int64_t tokens, const char* id) {
    return RunToEnd(TopUpBudget(platform, "b", tokens, id, &reason));
  }
};

TEST(BudgetStore, RepeatedTopUpCountsOnce) {
  CHECK(Add(100, "one") == std::optional<std::int64_t>(100));
  CHECK(Add(100, "one") == std::optional<std::int64_t>(100));
  CHECK(Add(50, "two") == std::optional<std::int64_t>(150));
  LONGS_EQUAL(150, ToppedUp(platform));
}

TEST(BudgetStore, LostAnswerOfATopUpCountsOnce) {
  platform.lose_answers = 2;
  CHECK(Add(100, "one") == std::optional<std::int64_t>(100));
  platform.lose_answers = 2;
  CHECK(Add(50, "two") == std::optional<std::int64_t>(150));
  LONGS_EQUAL(150, ToppedUp(platform));
}

TEST(BudgetStore, TopUpSurvivesAnotherWriter) {
  Add(100, "one");
  platform.before_write = [this] { Add(7, "other"); };
  CHECK(Add(50, "two") == std::optional<std::int64_t>(157));
  LONGS_EQUAL(157, ToppedUp(platform));
}

TEST(BudgetStore, TopUpPastTheRangeIsRefused) {
  Add(std::numeric_limits<std::int64_t>::max(), "one");
  CHECK(!Add(1, "two").has_value());
  LONGS_EQUAL(static_cast<int>(ResultCode::kBadRequest),
              static_cast<int>(reason.code));
}

}  // namespace turmericwinch
