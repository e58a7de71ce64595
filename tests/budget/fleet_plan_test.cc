#include "libs/budget/fleet_plan.h"

#include <CppUTest/TestHarness.h>

#include <limits>

namespace turmericwinch {

TEST_GROUP(FleetPlan) {
  FleetDemand demand;

  void setup() override {
    demand.unspent = 1'000'000;
    demand.free = 1'000'000;
    demand.demand_share = 0.125;
    demand.rate = 1'000;
    demand.request_cost = 5'000;
  }
};

TEST(FleetPlan, DrawsStockForAnOutageAndOpensAPartOfIt) {
  const FleetDraw plan = PlanFleetDraw(demand);
  LONGS_EQUAL(15'000, plan.draw);
  LONGS_EQUAL(10'000, plan.open);
  CHECK(plan.is_due);
}

TEST(FleetPlan, AllHostsTogetherLeaveTokensFree) {
  demand.rate = 1e9;
  const FleetDraw plan = PlanFleetDraw(demand);
  CHECK(8 * static_cast<double>(plan.draw) <=
        kFleetStockShare * static_cast<double>(demand.unspent) + 8);
}

TEST(FleetPlan, NoWriteIsDueWhileTheStockSuffices) {
  demand.available = 10'000;
  demand.unopened = 5'000;
  demand.free -= 15'000;
  CHECK(!PlanFleetDraw(demand).is_due);
}

TEST(FleetPlan, HostWithoutAStockDrawsOnlyWhatIsNeeded) {
  demand.keeps_stock = false;
  CHECK(!PlanFleetDraw(demand).is_due);
  demand.needed = 7'000;
  const FleetDraw plan = PlanFleetDraw(demand);
  LONGS_EQUAL(7'000, plan.draw);
  LONGS_EQUAL(7'000, plan.open);
  CHECK(plan.is_due);
}

TEST(FleetPlan, HostThatNoLongerKeepsAStockGivesItBack) {
  demand.keeps_stock = false;
  demand.available = 10'000;
  demand.unopened = 5'000;
  const FleetDraw plan = PlanFleetDraw(demand);
  LONGS_EQUAL(5'000, plan.give_back);
  CHECK(plan.keep_open < 10'000);
  CHECK(plan.is_due);
}

TEST(FleetPlan, StockForManyHostsCoversTheFirstRequestsOfEach) {
  demand.rate = 0;
  demand.hosts_served = 13;
  demand.demand_share = 0.5;
  const FleetDraw plan = PlanFleetDraw(demand);
  LONGS_EQUAL(195'000, plan.draw);
  LONGS_EQUAL(130'000, plan.open);
}

TEST(FleetPlan, WaitingRequestsDrawFreeTokens) {
  demand.available = 10'000;
  demand.unopened = 5'000;
  demand.needed = 40'000;
  demand.free = 20'000;
  const FleetDraw plan = PlanFleetDraw(demand);
  LONGS_EQUAL(20'000, plan.draw);
  LONGS_EQUAL(25'000, plan.open);
  CHECK(plan.is_due);
}

TEST(FleetPlan, TheSmallestRequestsThatALimitCoversAreCounted) {
  LONGS_EQUAL(0, CoveredTokens({}, 100));
  LONGS_EQUAL(0, CoveredTokens({101}, 100));
  LONGS_EQUAL(100, CoveredTokens({100}, 100));
  LONGS_EQUAL(60, CoveredTokens({50, 60'000, 10}, 100));
  LONGS_EQUAL(90, CoveredTokens({90, 20, 70}, 100));
  LONGS_EQUAL(0, CoveredTokens({1}, -1));
  constexpr std::int64_t kMax = std::numeric_limits<std::int64_t>::max();
  LONGS_EQUAL(kMax - 1, CoveredTokens({kMax, kMax - 1}, kMax));
}

TEST(FleetPlan, GivesBackStockOfANearlyUsedUpBudget) {
  demand.unspent = 50'000;
  demand.free = 1'000;
  demand.available = 10'000;
  demand.unopened = 20'000;
  const FleetDraw plan = PlanFleetDraw(demand);
  CHECK(plan.give_back > 0);
  CHECK(plan.is_due);
}

TEST(FleetPlan, LoweredPaidAmountGivesAllUnusedTokensBack) {
  demand.free = -1;
  demand.available = 10;
  demand.unopened = 20;
  const FleetDraw plan = PlanFleetDraw(demand);
  LONGS_EQUAL(0, plan.draw);
  LONGS_EQUAL(20, plan.give_back);
  LONGS_EQUAL(0, plan.keep_open);
  CHECK(plan.is_due);
}

TEST(FleetPlan, DemandShareFollowsOpenedTokens) {
  FleetBudget budget;
  budget.rows["one_a"].opened = 90'000;
  budget.rows["two_a"].opened = 0;
  CHECK(DemandShare(budget, "one_a", 1'000'000, 8) > 0.5);
  CHECK(DemandShare(budget, "two_a", 1'000'000, 8) < 0.1);
}

}  // namespace turmericwinch
