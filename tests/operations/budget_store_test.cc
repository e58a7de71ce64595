#include "libs/operations/budget_store.h"

#include <CppUTest/TestHarness.h>

#include <boost/json.hpp>
#include <limits>
#include <string>

#include "libs/operations/budget_report.h"
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

  std::optional<std::int64_t> TopUpTokens(std::int64_t tokens, const char* id) {
    return RunToEnd(TopUpBudget(platform, "b", tokens, id, &reason));
  }
};

TEST(BudgetStore, RepeatedTopUpCountsOnce) {
  CHECK(TopUpTokens(100, "one") == std::optional<std::int64_t>(100));
  CHECK(TopUpTokens(100, "one") == std::optional<std::int64_t>(100));
  CHECK(TopUpTokens(50, "two") == std::optional<std::int64_t>(150));
  LONGS_EQUAL(150, ToppedUp(platform));
}

TEST(BudgetStore, TopUpWithLostResponseCountsOnce) {
  platform.lose_answers = 2;
  CHECK(TopUpTokens(100, "one") == std::optional<std::int64_t>(100));
  platform.lose_answers = 2;
  CHECK(TopUpTokens(50, "two") == std::optional<std::int64_t>(150));
  LONGS_EQUAL(150, ToppedUp(platform));
}

TEST(BudgetStore, TopUpIsRetriedAfterConcurrentWrite) {
  TopUpTokens(100, "one");
  platform.before_write = [this] { TopUpTokens(7, "other"); };
  CHECK(TopUpTokens(50, "two") == std::optional<std::int64_t>(157));
  LONGS_EQUAL(157, ToppedUp(platform));
}

TEST(BudgetStore, TopUpThatOverflowsIsRejected) {
  TopUpTokens(std::numeric_limits<std::int64_t>::max(), "one");
  CHECK(!TopUpTokens(1, "two").has_value());
  LONGS_EQUAL(static_cast<int>(ResultCode::kBadRequest),
              static_cast<int>(reason.code));
}

// The report of a holder that ended with outstanding loans names the borrowers
// that keep its row open.
TEST(BudgetStore, ReportShowsStrandedTokensAndOpenBorrowers) {
  TopUpTokens(1'000, "one");
  AccountBucket accounts;
  accounts.budgets["b"].topped_up = 1'000;
  accounts.budgets["b"].domains["d1"] = {300, 0};
  auto object = RunToEnd(platform.Get(
      PlatformDuty::kBudget, AccountObjectName(BucketOf("b")), &reason));
  object->value = ToJson(accounts);
  RunToEnd(platform.Update(PlatformDuty::kBudget, *object, &reason));
  DomainShard shard;
  shard.budgets["b"].holders["a_1"] = {200, 50, 0};
  shard.budgets["b"].holders["f_1"] = {100, 0, 0};
  shard.borrowers["a_1"] = {"e_1", "f_1"};
  EndedHolders ended_holders;
  ended_holders.ended["a_1"] = {};
  ended_holders.acknowledged["f_1"] = {"a_1"};
  RunToEnd(platform.Create(PlatformDuty::kBudget,
                           ShardObjectName("d1", BucketOf("b")), ToJson(shard),
                           &reason));
  RunToEnd(platform.Create(PlatformDuty::kBudget, EndedHoldersObjectName("d1"),
                           ToJson(ended_holders), &reason));
  auto state = RunToEnd(FetchBudget(platform, "b", &reason));
  CHECK(state.has_value());
  const boost::json::object report = BudgetReportJson("b", 0, *state);
  LONGS_EQUAL(250, report.at("granted").as_int64());
  LONGS_EQUAL(150, report.at("stranded").as_int64());
  const std::string text = BudgetReportText("b", 0, *state);
  STRCMP_CONTAINS("ended, waits for e_1", text.c_str());
  STRCMP_CONTAINS("not ended", text.c_str());
}

}  // namespace turmericwinch
