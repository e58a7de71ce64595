#include "libs/routing/rate_share.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

#include "libs/routing/routing_constants.h"

namespace turmericwinch {

namespace {

std::vector<HostDemand> Hosts(int count, double rate) {
  std::vector<HostDemand> hosts;
  for (int n = 0; n < count; ++n)
    hosts.push_back({"host-" + std::to_string(n), rate});
  return hosts;
}

}  // namespace

TEST_GROUP(RateShare){
    // Shares of all hosts at one target.
    std::vector<double> Shares(const std::vector<HostDemand>& hosts,
                               double limit,
                               const std::string& target = "t"){
        std::vector<double> shares;
for (const HostDemand& it : hosts)
  shares.push_back(RateShareOf(it.host, target, limit, hosts));
return shares;
}  // namespace turmericwinch

double Sum(const std::vector<double>& shares) {
  double sum = 0;
  for (double it : shares)
    sum += it;
  return sum;
}
}
;

TEST(RateShare, TheSharesOfAllHostsSumUpToTheLimit) {
  for (int hosts : {1, 2, 9, 65, 420}) {
    for (double limit : {0.2, 1.0, 4.3, 50.0, 1000.0}) {
      DOUBLES_EQUAL(1, Sum(Shares(Hosts(hosts, 3), limit)), 1e-9);
      DOUBLES_EQUAL(1, Sum(Shares(Hosts(hosts, 0), limit)), 1e-9);
    }
  }
}

TEST(RateShare, AHostWithMoreCallersGetsMore) {
  std::vector<HostDemand> hosts = Hosts(3, 2);
  hosts[1].rate = 8;
  const std::vector<double> shares = Shares(hosts, 10);
  DOUBLES_EQUAL(8.0 / 12, shares[1], 1e-9);
  DOUBLES_EQUAL(2.0 / 12, shares[0], 1e-9);
}

TEST(RateShare, AHostWithoutCallersKeepsASmallShare) {
  std::vector<HostDemand> hosts = Hosts(3, 2);
  hosts[1].rate = 0;
  const std::vector<double> shares = Shares(hosts, 10);
  CHECK(shares[1] > 0);
  CHECK(shares[1] < shares[0] / 5);
}

TEST(RateShare, FewHostsGetAShareOfALowLimit) {
  for (double limit : {0.5, 3.0, 20.0}) {
    const std::vector<double> shares = Shares(Hosts(65, 3), limit);
    const auto chosen = std::count_if(shares.begin(), shares.end(),
                                      [](double it) { return it > 0; });
    LONGS_EQUAL(static_cast<long>(limit + kMinRateHosts), chosen);
  }
}

TEST(RateShare, EveryHostGetsASharesOfSomeTarget) {
  const std::vector<HostDemand> hosts = Hosts(9, 3);
  std::vector<double> sums(hosts.size(), 0);
  for (int n = 0; n < 40; ++n) {
    const auto shares = Shares(hosts, 1, "t" + std::to_string(n));
    for (std::size_t host = 0; host < shares.size(); ++host)
      sums[host] += shares[host];
  }
  CHECK(
      std::all_of(sums.begin(), sums.end(), [](double it) { return it > 1; }));
}

TEST(RateShare, AnUnknownHostGetsNothing) {
  DOUBLES_EQUAL(0, RateShareOf("other", "t", 4, Hosts(3, 1)), 0);
  DOUBLES_EQUAL(0, RateShareOf("other", "t", 4, {}), 0);
}

}  // namespace turmericwinch
