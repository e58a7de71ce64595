#include <CppUTest/TestHarness.h>

#include "fleet_traffic_run.h"

namespace turmericwinch {

namespace {

// Requests per second and host of a fleet that serves 760 requests per second
// with 65 hosts.
constexpr double kRequestRate = 11.7;
// Of 100 requests, 95 get their first token in time (docs/DEVELOPERS.md).
constexpr int kMaxRefusedPercent = 5;

FleetTrafficResult RunFleet(int hosts, int domains, int stopped_hosts = 0) {
  FleetTrafficRun run({hosts, domains, 1, kRequestRate, stopped_hosts});
  return run.Run();
}

}  // namespace

TEST_GROUP(FleetTraffic){};

TEST(FleetTraffic, NineHostsDrawTokensInTime) {
  const FleetTrafficResult result = RunFleet(9, 4);
  CHECK(result.requests > 0);
  CHECK(result.refused * 100 <= result.requests * kMaxRefusedPercent);
  LONGS_EQUAL(0, result.overspent);
}

TEST(FleetTraffic, SixtyFiveHostsAreNotRefusedTokensOfAnUnspentBudget) {
  const FleetTrafficResult result = RunFleet(65, 5);
  CHECK(result.requests > 0);
  CHECK(result.refused * 100 <= result.requests * kMaxRefusedPercent);
  LONGS_EQUAL(0, result.overspent);
}

// With 20 of 65 hosts stopped, stocks of every domain are out of reach.
TEST(FleetTraffic, HostsDrawThemselvesWhileHostsWithStocksDoNotAnswer) {
  const FleetTrafficResult result = RunFleet(65, 5, 20);
  CHECK(result.requests > 0);
  CHECK(result.refused * 100 <= result.requests * kMaxRefusedPercent);
  LONGS_EQUAL(0, result.overspent);
}

}  // namespace turmericwinch
