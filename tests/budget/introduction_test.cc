// Hosts that are listed in the account by the write of another one.

#include <CppUTest/TestHarness.h>

#include "libs/budget/fleet_holder.h"
#include "libs/budget/ranked_hosts.h"

namespace turmericwinch {

TEST_GROUP(Introduction) {
  FleetHolder lister{"lister_1", "boot", "lister:1", "a"};
  FleetHolder holder{"host_1", "boot", "host:1", "a", 20};
  HostLedger lister_ledger{"lister_1"};
  HostLedger ledger{"host_1"};
  FleetAccount account;

  // Lets `lister` write the account.
  bool Write() {
    lister.LoadAccount(account, BootTime(10));
    if (!lister.PlanWrite({}, lister_ledger, BootTime(10)))
      return false;
    lister.BeginWrite(BootTime(10));
    account = lister.planned_account();
    lister.ConfirmWrite();
    return true;
  }
};

TEST(Introduction, AHostIsListedByTheNextWriteOfAnother) {
  CHECK(Write());
  CHECK(!Write());
  lister.Introduce("host_1", holder.OwnHeartbeat(BootTime(20)));
  CHECK(lister.has_introductions());
  CHECK(Write());
  CHECK(!lister.has_introductions());
  holder.LoadAccount(account, BootTime(30));
  CHECK(holder.is_registered());
  CHECK(!holder.is_closed());
  STRCMP_EQUAL("host:1", account.heartbeats.at("host_1").address.c_str());
  LONGS_EQUAL(20, account.heartbeats.at("host_1").link_mbps);
}

TEST(Introduction, AnIntroductionDuringAWriteIsKeptForTheNext) {
  lister.LoadAccount(account, BootTime(10));
  CHECK(lister.PlanWrite({}, lister_ledger, BootTime(10)));
  lister.BeginWrite(BootTime(10));
  lister.Introduce("host_1", holder.OwnHeartbeat(BootTime(20)));
  account = lister.planned_account();
  lister.ConfirmWrite();
  CHECK(!account.heartbeats.contains("host_1"));
  CHECK(Write());
  CHECK(account.heartbeats.contains("host_1"));
}

// A host that ended meanwhile must not be listed again.
TEST(Introduction, AnIntroductionEndsWhenAnotherHostListsTheHolder) {
  CHECK(Write());
  lister.Introduce("host_1", holder.OwnHeartbeat(BootTime(20)));
  account.heartbeats["host_1"] = holder.OwnHeartbeat(BootTime(20));
  lister.LoadAccount(account, BootTime(30));
  CHECK(!lister.has_introductions());
  account.heartbeats.erase("host_1");
  CHECK(!Write());
  CHECK(!account.heartbeats.contains("host_1"));
}

// The tokens of the earlier incarnation would stay out of use otherwise.
TEST(Introduction, TheEarlierProcessOfAnIntroducedHostIsClosed) {
  account.heartbeats["host_0"] = {"boot", BootTime(1), "host:1", "a"};
  account.budgets["team"].rows["host_0"] = {100, 0, 40};
  holder.LoadAccount(account, BootTime(30));
  CHECK(holder.MayBeIntroduced());
  LONGS_EQUAL(1, holder.earlier_incarnations().size());
  lister.Introduce("host_1", holder.OwnHeartbeat(BootTime(30)),
                   holder.earlier_incarnations());
  CHECK(Write());
  CHECK(!account.heartbeats.contains("host_0"));
  CHECK(account.budgets.at("team").rows.empty());
  // It can't have spent more than it opened.
  LONGS_EQUAL(40, account.budgets.at("team").closed);
  holder.LoadAccount(account, BootTime(40));
  CHECK(holder.is_registered());
  CHECK(holder.earlier_incarnations().empty());
  CHECK(!holder.PlanWrite({}, ledger, BootTime(40)));
}

// After a loss of power nothing shows what the earlier process spent.
TEST(Introduction, AnEarlierProcessOfAnotherBootIsChargedWithAllItHeld) {
  account.heartbeats["host_0"] = {"earlier", BootTime(1), "host:1", "a"};
  account.budgets["team"].rows["host_0"] = {100, 10, 40};
  holder.LoadAccount(account, BootTime(30));
  lister.Introduce("host_1", holder.OwnHeartbeat(BootTime(30)),
                   holder.earlier_incarnations());
  CHECK(Write());
  LONGS_EQUAL(90, account.budgets.at("team").closed);
}

// An introduction may arrive after the next process of its host has started.
TEST(Introduction, ALateIntroductionClosesNoLaterProcess) {
  account.heartbeats["host_0"] = {"boot", BootTime(1), "host:1", "a"};
  holder.LoadAccount(account, BootTime(30));
  const std::vector<std::string> ended = holder.earlier_incarnations();
  account.heartbeats.erase("host_0");
  account.heartbeats["host_2"] = {"boot", BootTime(50), "host:1", "a"};
  account.budgets["team"].rows["host_2"] = {100, 0, 40};
  lister.Introduce("host_1", holder.OwnHeartbeat(BootTime(30)), ended);
  CHECK(Write());
  CHECK(account.heartbeats.contains("host_2"));
  LONGS_EQUAL(100, account.budgets.at("team").rows.at("host_2").granted);
  LONGS_EQUAL(0, account.budgets.at("team").closed);
}

// Without an introducer a restarted host still closes its earlier process.
TEST(Introduction, AHostThatRestartedMayWriteTheAccountItself) {
  account.heartbeats["host_0"] = {"boot", BootTime(1), "host:1", "a"};
  account.budgets["team"].rows["host_0"] = {100, 0, 40};
  account.heartbeats["host_1"] = holder.OwnHeartbeat(BootTime(30));
  holder.LoadAccount(account, BootTime(30));
  CHECK(holder.is_registered());
  CHECK(holder.PlanWrite({}, ledger, BootTime(30)));
  CHECK(!holder.planned_account().heartbeats.contains("host_0"));
  LONGS_EQUAL(40, holder.planned_account().budgets.at("team").closed);
}

// Its own address leads to the host itself.
TEST(Introduction, AHostDoesNotAskItsEarlierProcess) {
  account.heartbeats["host_0"] = {"boot", BootTime(0), "host:1", "a"};
  STRCMP_EQUAL("", FindIntroducer(account, "host_1", "a").c_str());
}

TEST(Introduction, HostsOfADomainAskOneOfTheirOwn) {
  STRCMP_EQUAL("", FindIntroducer(account, "host_1", "a").c_str());
  account.heartbeats["b_1"] = {"boot", BootTime(0), "b:1", "b"};
  STRCMP_EQUAL("b:1", FindIntroducer(account, "host_1", "a").c_str());
  account.heartbeats["a_1"] = {"boot", BootTime(0), "a:1", "a"};
  account.heartbeats["host_1"] = {"boot", BootTime(0), "host:1", "a"};
  STRCMP_EQUAL("a:1", FindIntroducer(account, "host_1", "a").c_str());
}

}  // namespace turmericwinch
