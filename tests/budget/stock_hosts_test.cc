#include "libs/budget/stock_hosts.h"

#include <CppUTest/TestHarness.h>

#include <set>

namespace turmericwinch {

namespace {

constexpr char kDomains[][2] = {"a", "b", "c", "d", "e"};
constexpr int kBudgets = 24;

std::string Holder(const std::string& domain, int n, int incarnation = 1) {
  return "host-" + domain + std::to_string(n) + "_" +
         std::to_string(incarnation);
}

}  // namespace

TEST_GROUP(StockHosts) {
  FleetAccount account;

  void AddHosts(int domains, int hosts) {
    for (int domain = 0; domain < domains; ++domain) {
      for (int n = 0; n < hosts; ++n)
        AddHost(kDomains[domain], Holder(kDomains[domain], n));
    }
  }

  void AddHost(const std::string& domain, const std::string& holder) {
    account.heartbeats[holder] = {"boot", BootTime(0), holder + ":1", domain};
  }

  std::vector<LenderEndpoint> Lenders(const std::string& domain,
                                      const std::string& holder, int budget) {
    return StockHosts(account, holder, domain)
        .LendersFor("team-" + std::to_string(budget));
  }
};

TEST(StockHosts, EveryHostOfASmallFleetKeepsAStock) {
  AddHosts(3, 3);
  for (int budget = 0; budget < kBudgets; ++budget)
    CHECK(Lenders("a", Holder("a", 0), budget).empty());
  const StockHosts own(account, Holder("a", 0), "a");
  LONGS_EQUAL(9, own.CountPerBudget());
  LONGS_EQUAL(1, own.HostsServed());
}

TEST(StockHosts, OneHostOfALargeDomainKeepsTheStockOfABudget) {
  AddHosts(5, 13);
  std::set<std::string> keepers;
  for (int budget = 0; budget < kBudgets; ++budget) {
    std::set<std::string> first;
    int keeps = 0;
    for (int n = 0; n < 13; ++n) {
      const auto lenders = Lenders("b", Holder("b", n), budget);
      if (!lenders.empty()) {
        first.insert(lenders.front().holder);
        continue;
      }
      ++keeps;
      keepers.insert(Holder("b", n));
    }
    LONGS_EQUAL(1, keeps);
    LONGS_EQUAL(1, first.size());
  }
  CHECK(keepers.size() <= kMaxStockHosts / 5);
  const StockHosts own(account, Holder("b", 0), "b");
  LONGS_EQUAL(5, own.CountPerBudget());
  LONGS_EQUAL(13, own.HostsServed());
}

TEST(StockHosts, FleetOfManyHostsHasBoundedWriters) {
  AddHosts(5, 80);
  std::set<std::string> keepers;
  for (const char* domain : kDomains) {
    for (int n = 0; n < 80; ++n) {
      for (int budget = 0; budget < kBudgets; ++budget) {
        if (Lenders(domain, Holder(domain, n), budget).empty())
          keepers.insert(Holder(domain, n));
      }
    }
  }
  CHECK(keepers.size() <= kMaxStockHosts);
}

TEST(StockHosts, RestartedHostKeepsItsStock) {
  AddHosts(5, 13);
  const std::string keeper = Lenders("c", Holder("c", 0), 1).empty()
                                 ? Holder("c", 0)
                                 : Lenders("c", Holder("c", 0), 1)[0].holder;
  const std::string restarted = keeper.substr(0, keeper.rfind('_')) + "_2";
  account.heartbeats.erase(keeper);
  AddHost("c", restarted);
  CHECK(Lenders("c", restarted, 1).empty());
}

TEST(StockHosts, UnregisteredHostBorrows) {
  AddHosts(5, 13);
  LONGS_EQUAL(kMaxDomainLenders, Lenders("a", "new_1", 1).size());
}

TEST(StockHosts, HostsOfAnEarlierVersionWithoutADomainAreNotAsked) {
  AddHosts(1, 13);
  for (auto& [holder, heartbeat] : account.heartbeats)
    heartbeat.domain.clear();
  CHECK(Lenders("a", Holder("a", 0), 1).empty());
  LONGS_EQUAL(13, StockHosts(account, Holder("a", 0), "a").CountPerBudget());
}

}  // namespace turmericwinch
