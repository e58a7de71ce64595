#include "libs/routing/cold_senders.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

namespace turmericwinch {

namespace {

constexpr double kOvershoot = 1.5;
constexpr double kTolerance = 5;
constexpr int kMaxHosts = 420;
constexpr int kMaxLimit = 500;

std::vector<std::string> Hosts(int count, int first = 0) {
  std::vector<std::string> hosts;
  for (int n = 0; n < count; ++n)
    hosts.push_back("host-" + std::to_string(first + n));
  return hosts;
}

int SumOfShares(const std::vector<std::string>& hosts,
                const ColdLimit& limit,
                const std::string& target = "target/1") {
  int sum = 0;
  for (const std::string& it : hosts)
    sum += ColdShareOf(it, target, limit, hosts);
  return sum;
}

ColdLimit Limit(double per_second) {
  return {per_second, kOvershoot, kTolerance};
}

}  // namespace

TEST_GROUP(ColdSenders){};

// Guards against rounding that leaves a part of the limit unused, or that gives
// more than the target takes.
TEST(ColdSenders, SharesSumUpToTheLimit) {
  for (int limit : {1, 2, 3, 4, 5, 7, 10, 11, 12, 50, 83, 251, 499, 500}) {
    for (int hosts : {1, 2, 3, 4, 5, 6, 7, 12, 41, 83, 84, 250, 300, 419, 420})
      LONGS_EQUAL(ColdRequestsPerSecond(Limit(limit)),
                  SumOfShares(Hosts(hosts), Limit(limit)));
  }
  const std::vector<std::string> small = Hosts(6);
  for (int limit = 1; limit <= kMaxLimit; ++limit)
    LONGS_EQUAL(ColdRequestsPerSecond(Limit(limit)),
                SumOfShares(small, Limit(limit)));
  for (int hosts = 1; hosts <= kMaxHosts; ++hosts)
    LONGS_EQUAL(10, SumOfShares(Hosts(hosts), Limit(11)));
}

// Guards against a partition in which each half of the fleet uses the whole
// bound.
TEST(ColdSenders, TwoViewsOfTheFleetKeepTheBound) {
  for (double overshoot : {0.5, 1.0, 1.2, 1.5, 2.0, 3.0}) {
    for (double tolerance : {0.0, 1.0, 5.0, 20.0}) {
      for (int limit = 1; limit <= kMaxLimit; ++limit) {
        const double bound = limit * overshoot + tolerance;
        if (bound < 2)
          continue;
        const ColdLimit cold{static_cast<double>(limit), overshoot, tolerance};
        CHECK(2 * ColdRequestsPerSecond(cold) <= bound);
        CHECK(ColdRequestsPerSecond(cold) >= 1);
        CHECK(ColdRequestsPerSecond(cold) <= limit);
      }
    }
  }
  for (int hosts : {1, 2, 41, 82}) {
    const int sum = SumOfShares(Hosts(hosts), Limit(11)) +
                    SumOfShares(Hosts(83 - hosts, hosts), Limit(11));
    CHECK(sum <= 21);
  }
}

// Guards against a partition whose sides keep some hosts in both views.
TEST(ColdSenders, OverlappingViewsKeepTheBound) {
  const std::vector<std::string> all = Hosts(83);
  for (int cut = 1; cut < 83; ++cut) {
    const std::vector<std::string> part = Hosts(cut);
    int sum = 0;
    for (int n = 0; n < 83; ++n)
      sum += ColdShareOf(all[static_cast<std::size_t>(n)], "target/1",
                         Limit(11), n < cut ? part : all);
    CHECK(sum <= 21);
  }
}

TEST(ColdSenders, HostOutsideTheFleetGetsNone) {
  LONGS_EQUAL(0, ColdShareOf("host-9", "target/1", Limit(11), Hosts(6)));
  LONGS_EQUAL(0, ColdShareOf("host-0", "target/1", Limit(11), {}));
  LONGS_EQUAL(0, ColdShareOf("", "target/1", Limit(500), Hosts(3)));
}

// Guards against a fleet change that replaces all senders, which would send
// twice the limit within a second.
TEST(ColdSenders, AddedHostReplacesAtMostOneSender) {
  const std::vector<std::string> before = Hosts(83);
  const std::vector<std::string> after = Hosts(84);
  int replaced = 0;
  for (int target = 0; target < 200; ++target) {
    const std::string name = "target-" + std::to_string(target) + "/1";
    int ended = 0;
    for (const std::string& it : before) {
      if (ColdShareOf(it, name, Limit(11), before) > 0 &&
          ColdShareOf(it, name, Limit(11), after) == 0)
        ++ended;
    }
    CHECK(ended <= 1);
    replaced += ended;
  }
  CHECK(replaced < 40);
}

// Guards against the same few hosts being the senders of all targets.
TEST(ColdSenders, SendersDifferBetweenTargetsAndStarts) {
  const std::vector<std::string> hosts = Hosts(83);
  std::vector<int> counts(hosts.size());
  for (int target = 0; target < 250; ++target) {
    for (std::size_t n = 0; n < hosts.size(); ++n) {
      const std::string name = "target-" + std::to_string(target) + "/1";
      counts[n] += ColdShareOf(hosts[n], name, Limit(11), hosts) > 0 ? 1 : 0;
    }
  }
  CHECK(*std::min_element(counts.begin(), counts.end()) > 0);
  CHECK(*std::max_element(counts.begin(), counts.end()) < 40);
}

// Guards against an overflow of the conversion to a whole number.
TEST(ColdSenders, HugeLimitIsBounded) {
  LONGS_EQUAL(1'000'000, ColdRequestsPerSecond({1e300, 1e300, 0}));
  LONGS_EQUAL(1, ColdRequestsPerSecond({0.2, 1, 0}));
}

}  // namespace turmericwinch
