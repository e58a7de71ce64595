#include "libs/budget/domain_shard.h"

#include <CppUTest/TestHarness.h>

namespace turmericwinch {

TEST_GROUP(DomainShard){};

TEST(DomainShard, RepeatedMergeCountsOnce) {
  ShardBudget budget;
  const HolderCounters counters{100, 40, 10};
  MergeHolder(budget, "a", counters, 200);
  const HolderCounters merged = MergeHolder(budget, "a", counters, 200);
  LONGS_EQUAL(100, merged.granted);
  LONGS_EQUAL(40, budget.Spent());
  LONGS_EQUAL(50, budget.Outstanding());
  LONGS_EQUAL(110, budget.Free(200));
}

TEST(DomainShard, GrantsStopAtTheAllocation) {
  ShardBudget budget;
  MergeHolder(budget, "a", {80, 0, 0}, 100);
  const HolderCounters merged = MergeHolder(budget, "b", {80, 0, 0}, 100);
  LONGS_EQUAL(20, merged.granted);
  LONGS_EQUAL(0, budget.Free(100));
}

TEST(DomainShard, LateOlderCountersChangeNothing) {
  ShardBudget budget;
  MergeHolder(budget, "a", {100, 60, 0}, 100);
  MergeHolder(budget, "a", {50, 20, 0}, 100);
  LONGS_EQUAL(60, budget.Spent());
  LONGS_EQUAL(40, budget.Outstanding());
}

TEST(DomainShard, SurvivesJson) {
  DomainShard shard;
  MergeHolder(shard.budgets["x"], "a", {100, 60, 5, 20}, 100);
  shard.borrowers["a"] = {"b", "c"};
  Reason reason;
  auto read = ParseDomainShard(ToJson(shard), &reason);
  CHECK(read.has_value());
  LONGS_EQUAL(35, read->budgets["x"].Outstanding());
  LONGS_EQUAL(20, read->budgets["x"].holders["a"].unlisted);
  CHECK(read->borrowers == shard.borrowers);
}

}  // namespace turmericwinch
