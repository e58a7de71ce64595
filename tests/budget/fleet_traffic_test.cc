#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <tuple>

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

// After the outage every host is short of tokens. The hosts that keep the
// stocks must not lose their writes to all the others.
TEST(FleetTraffic, LargeFleetsHaveTokensAgainSoonAfterAnOutageOfTheStore) {
  struct Case {
    int hosts;
    int domains;
    double rate;
    int strong_hosts;
    std::int64_t paid;
    std::uint64_t seeds;
  };
  // Budgets for 1.3 times the demand of 40 s.
  const Case cases[] = {{9, 4, 10, 0, 490'000, 3},
                        {78, 3, 10, 0, 4'200'000, 1},
                        {295, 7, 6, 21, 9'600'000, 1}};
  double small_fleet_calls = 0;
  for (const Case& it : cases) {
    for (std::uint64_t seed = 1; seed <= it.seeds; ++seed) {
      FleetTrafficOptions options{it.hosts, it.domains, seed, it.rate};
      options.strong_hosts = it.strong_hosts;
      options.paid = it.paid;
      options.outage = std::chrono::milliseconds(6'500);
      const FleetTrafficResult result = FleetTrafficRun(options).Run();
      LONGS_EQUAL(it.hosts, result.registered_at_start);
      // The calls of a host must not grow with the fleet.
      const double calls =
          static_cast<double>(result.calls_at_start) / it.hosts;
      small_fleet_calls =
          std::max(small_fleet_calls, it.hosts == 9 ? calls : 0);
      CHECK(calls <= small_fleet_calls);
      CHECK(result.requests_after_outage > 0);
      CHECK(result.refused_after_outage * 100 <=
            result.requests_after_outage * kMaxRefusedPercent);
      LONGS_EQUAL(0, result.overspent);
    }
  }
}

// All hosts have rows of earlier processes to close. If each writes the account
// for that, the hosts that keep the stocks lose their writes for many seconds.
TEST(FleetTraffic, LargeFleetsHaveTokensSoonAfterALossOfPower) {
  for (const auto& [hosts, domains, strong] :
       {std::tuple(78, 3, 6), std::tuple(295, 7, 21)}) {
    FleetTrafficOptions options{hosts, domains, 1, 6};
    options.strong_hosts = strong;
    options.after_power_loss = true;
    const FleetTrafficResult result = FleetTrafficRun(options).Run();
    CHECK(result.requests > 0);
    CHECK(result.refused * 100 <= result.requests * kMaxRefusedPercent);
    LONGS_EQUAL(0, result.overspent);
  }
}

}  // namespace turmericwinch
