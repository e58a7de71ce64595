#include "apps/measure_budget/budget_run.h"

#include <CppUTest/TestHarness.h>

#include <string>

namespace turmericwinch {

namespace {

constexpr double kWarmSeconds = 40;
constexpr double kCountedSeconds = 100;

FleetSize TinySize(std::uint64_t seed) {
  FleetSize size;
  size.hosts = 5;
  size.domains = 2;
  size.budgets = 6;
  size.rate = 10;
  size.flush_seconds = 2;
  size.seed = seed;
  return size;
}

}  // namespace

TEST_GROUP(BudgetRun){
    static void Check(Scenario scenario){for (int n = 0; n < kPolicies; ++n){
        const auto policy = static_cast<Policy>(n);
for (std::uint64_t seed : {1, 2, 3}) {
  const RunResults it =
      BudgetRun(policy, MakePlan(scenario, kWarmSeconds, kCountedSeconds),
                TinySize(seed))
          .Run();
  const std::string text = std::string(NameOf(policy)) + ", seed " +
                           std::to_string(seed) + ": overspent " +
                           std::to_string(it.overspent) + " " + it.failed_check;
  CHECK_TEXT(it.overspent == 0 && it.failed_check.empty(), text.c_str());
  CHECK_TEXT(it.all.acceptable > 0, text.c_str());
}
}  // namespace turmericwinch
}
}
;

TEST(BudgetRun, NothingIsOverspentInCalm) {
  Check(Scenario::kCalm);
}

TEST(BudgetRun, NothingIsOverspentInAnOutage) {
  Check(Scenario::kOutage);
}

TEST(BudgetRun, NothingIsOverspentInAPartitionWithTopUps) {
  Check(Scenario::kPartition);
}

TEST(BudgetRun, NothingIsOverspentWhenHostsCrash) {
  Check(Scenario::kDeaths);
}

TEST(BudgetRun, NothingIsOverspentWhenBudgetsAreUsedUp) {
  Check(Scenario::kEnd);
}

TEST(BudgetRun, PerfectPolicyRefusesNoAcceptableRequest) {
  const RunResults it =
      BudgetRun(Policy::kPerfect,
                MakePlan(Scenario::kEnd, kWarmSeconds, kCountedSeconds),
                TinySize(1))
          .Run();
  LONGS_EQUAL(0, it.all.refused);
}

TEST(BudgetRun, SameSeedGivesTheSameResults) {
  const ScenarioPlan plan =
      MakePlan(Scenario::kDeaths, kWarmSeconds, kCountedSeconds);
  const RunResults first = BudgetRun(Policy::kGrants, plan, TinySize(4)).Run();
  const RunResults second = BudgetRun(Policy::kGrants, plan, TinySize(4)).Run();
  LONGS_EQUAL(first.all.acceptable, second.all.acceptable);
  LONGS_EQUAL(first.load.Writes(), second.load.Writes());
  LONGS_EQUAL(first.stranded, second.stranded);
}

}  // namespace turmericwinch
