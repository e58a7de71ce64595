#include "libs/budget/fleet_holder.h"

#include <CppUTest/TestHarness.h>

#include <cstdlib>

#include "fleet_holder_run.h"

namespace turmericwinch {

namespace {

constexpr char kTeam[] = "team";
constexpr std::int64_t kPaid = kFleetRunPaid;
constexpr int kSeeds = 60;

std::uint64_t SeedsToRun() {
  const char* text = std::getenv("TURMERICWINCH_TEST_SEEDS");
  return text ? std::strtoull(text, nullptr, 10) : kSeeds;
}

// Returns the tokens used in all runs. Fails the test if a run overspends.
std::int64_t RunSeeds(std::uint64_t seeds, bool has_restores) {
  std::int64_t used = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const FleetHolderResult result = RunFleetHolders(seed, has_restores);
    if (result.excess > 0)
      FAIL(("seed " + std::to_string(seed) + " overspent by " +
            std::to_string(result.excess))
               .c_str());
    used += result.used;
  }
  return used;
}

}  // namespace

TEST_GROUP(FleetHolder) {
  FleetHolder holder{"host_a", "boot", ""};
  HostLedger ledger{"host_a"};
  std::map<std::string, HolderDemand> demands{
      {kTeam, {10 * kPaid, {}, 1'000, 200}}};

  // The first write only registers the holder.
  void Register(BootTime now) {
    CHECK(holder.PlanWrite(demands, ledger, now));
    holder.BeginWrite(now);
    holder.ConfirmWrite();
  }

  void Grant(BootTime now) {
    if (holder.known_account().heartbeats.empty())
      Register(now);
    CHECK(holder.PlanWrite(demands, ledger, now));
    holder.BeginWrite(now);
    for (const auto& [name, total] : holder.ConfirmWrite())
      ledger.ApplyGrant(name, total);
  }
};

TEST(FleetHolder, InvariantsNoTeamSpendsMoreThanItPaid) {
  const std::uint64_t seeds = SeedsToRun();
  const std::int64_t used = RunSeeds(seeds, false);
  // The runs must use a large part of the paid tokens; otherwise the check
  // above would prove nothing.
  CHECK(used / static_cast<std::int64_t>(seeds) > kPaid / 2);
}

TEST(FleetHolder, NoTokensAreSpentTwiceAfterTheStoreLostWrites) {
  const std::uint64_t seeds = SeedsToRun();
  const std::int64_t used = RunSeeds(seeds, true);
  CHECK(used / static_cast<std::int64_t>(seeds) > kPaid / 2);
}

// All hosts ended as the store came back, so that nobody knows what was drawn
// since the copy.
TEST(FleetHolder, DrawsThatNobodyRemembersAreCharged) {
  constexpr std::int64_t kPeakRate = 100;
  constexpr auto kUnknown = static_cast<std::int64_t>(
      kPeakRate * kMaxCopyAge.count() * kUnknownDrawFactor);
  FleetAccount copy;
  copy.era = 1;
  copy.is_settled = true;
  copy.budgets[kTeam].peak_rate = kPeakRate;
  BootTime now(1'000);
  holder.LoadAccount(copy, now, 2);
  Register(now);
  LONGS_EQUAL(0, holder.known_account().budgets.at(kTeam).closed);
  now += kSettleTime;
  CHECK(holder.PlanWrite(demands, ledger, now));
  CHECK(holder.planned_account().is_settled);
  LONGS_EQUAL(kUnknown, holder.planned_account().budgets.at(kTeam).closed);
}

// A write that failed between the two reads.
TEST(FleetHolder, ReadingTheCopyTwiceIsNoMemoryOfTheEarlierEra) {
  FleetAccount copy;
  copy.era = 1;
  copy.is_settled = true;
  copy.heartbeats["host-2_1"] = {"boot", BootTime(1), "", ""};
  copy.budgets[kTeam].peak_rate = 100;
  BootTime now(1'000);
  holder.LoadAccount(copy, now, 2);
  now += kSettleTime;
  holder.LoadAccount(copy, now, 2);
  CHECK(holder.PlanWrite(demands, ledger, now));
  CHECK(holder.planned_account().is_settled);
  CHECK(!holder.planned_account().is_remembered);
  CHECK(holder.planned_account().budgets.at(kTeam).closed > 0);
}

TEST(FleetHolder, NothingIsChargedForDrawsIfAHostRemembersTheEarlierEra) {
  FleetAccount account;
  account.era = 1;
  account.is_settled = true;
  account.budgets[kTeam].peak_rate = 100;
  BootTime now(1'000);
  holder.LoadAccount(account, now, 1);
  Register(now);
  holder.LoadAccount(account, now, 2);
  Register(now);
  // Another host settles the account and remembers nothing itself.
  FleetHolder other{"host_b", "boot", ""};
  other.LoadAccount(holder.known_account(), now, 2);
  now += kSettleTime;
  CHECK(other.PlanWrite(demands, ledger, now));
  CHECK(other.planned_account().is_settled);
  LONGS_EQUAL(0, other.planned_account().budgets.at(kTeam).closed);
}

TEST(FleetHolder, ThePeakRateOfDrawsIsPartOfTheAccount) {
  BootTime now(1'000);
  FleetAccount account;
  account.budgets[kTeam].rows["host-2_1"] = {1'000, 0, 0};
  holder.LoadAccount(account, now);
  account.budgets[kTeam].rows["host-2_1"] = {2'400, 200, 0};
  account.budgets[kTeam].rows["host-3_1"] = {5'000, 0, 0};
  now += kDrawRateWindow;
  holder.LoadAccount(account, now);
  CHECK(holder.PlanWrite(demands, ledger, now));
  LONGS_EQUAL(300, holder.planned_account().budgets.at(kTeam).peak_rate);
}

TEST(FleetHolder, OnlyOpenTokensAreAvailableWhileTheStoreAnswers) {
  Grant(BootTime(1'000));
  const FleetRow row =
      holder.known_account().budgets.at(kTeam).rows.at("host_a");
  LONGS_EQUAL(row.opened, ledger.Available(kTeam));
  CHECK(row.opened < row.Held());
}

TEST(FleetHolder, LongOutageOpensTheWholeStock) {
  Grant(BootTime(1'000));
  CHECK(holder.OpenAll(ledger, BootTime(1'000) + kOpenAllDelay).empty());
  const auto all = holder.OpenAll(ledger, BootTime(1'001) + kOpenAllDelay);
  const FleetRow row =
      holder.known_account().budgets.at(kTeam).rows.at("host_a");
  LONGS_EQUAL(row.Held(), all.at(kTeam));
}

TEST(FleetHolder, WriteWithUnknownOutcomeDelaysOpeningTheStock) {
  Grant(BootTime(1'000));
  ledger.AddGrantRequest(kTeam, 100);
  demands[kTeam].waiting = {20'000};
  CHECK(holder.PlanWrite(demands, ledger, BootTime(3'000)));
  holder.BeginWrite(BootTime(3'000));
  CHECK(holder.OpenAll(ledger, BootTime(2'000) + kOpenAllDelay).empty());
}

// Guards against a host that draws all free tokens for a request that they do
// not cover, so that requests at other hosts are refused.
TEST(FleetHolder, ARequestThatDoesNotFitDrawsNoTokens) {
  constexpr std::int64_t kPaidHere = 10 * kPaid;
  constexpr std::int64_t kSmall = 300;
  FleetAccount account;
  account.heartbeats["host-1_1"] = {"boot", BootTime(0)};
  account.budgets[kTeam].rows["host-1_1"] = {kPaid, 0, kPaid};
  holder.LoadAccount(account, BootTime(500));
  Grant(BootTime(1'000));
  Grant(BootTime(1'800));
  const auto planned_free = [&](std::vector<std::int64_t> waiting) {
    demands[kTeam].waiting = std::move(waiting);
    holder.PlanWrite(demands, ledger, BootTime(1'900));
    return holder.planned_account().budgets.at(kTeam).Free(kPaidHere);
  };
  const std::int64_t free = planned_free({});
  CHECK(free > 0);
  LONGS_EQUAL(free, planned_free({kPaidHere - kPaid + 1}));
  // A small request that waits beside it gets its tokens.
  CHECK(planned_free({kPaidHere, kSmall}) >= free - kSmall);
  // One that takes all tokens but those of the other host is served.
  LONGS_EQUAL(0, planned_free({kPaidHere - kPaid}));
}

// Guards against tokens that a host has given back, and that no host can draw:
// the account was read again before the write, which then was not due any more.
TEST(FleetHolder, TokensGivenBackAreDueUntilTheAccountHasThem) {
  Grant(BootTime(1'000));
  const std::int64_t held =
      holder.known_account().budgets.at(kTeam).rows.at("host_a").Held();
  demands[kTeam].rate = 0;
  CHECK(holder.PlanWrite(demands, ledger, BootTime(1'200)));
  const std::int64_t returned = ledger.Counters(kTeam).given_back;
  CHECK(returned > 0);
  holder.LoadAccount(holder.known_account(), BootTime(1'250));
  CHECK(holder.PlanWrite(demands, ledger, BootTime(1'250)));
  holder.BeginWrite(BootTime(1'250));
  holder.ConfirmWrite();
  LONGS_EQUAL(
      held - returned,
      holder.known_account().budgets.at(kTeam).rows.at("host_a").Held());
  CHECK(!holder.PlanWrite(demands, ledger, BootTime(1'300)));
}

TEST(FleetHolder, DrawsForBorrowersOnlyWhatTheAccountHasLeft) {
  FleetAccount account;
  holder = FleetHolder("host_a", "boot", "host_a:1", "domain");
  for (int n = 0; n < 2 * static_cast<int>(kMaxStockHosts); ++n) {
    const std::string other = "host-" + std::to_string(n) + "_1";
    account.heartbeats[other] = {"boot", BootTime(0), other + ":1", "domain"};
  }
  account.budgets[kTeam].rows["host-1_1"] = {kPaid - 500, 0, 0};
  holder.LoadAccount(account, BootTime(1'000));
  CHECK(holder.MayDrawForLoan(kTeam, kPaid, 500));
  CHECK(!holder.MayDrawForLoan(kTeam, kPaid, 501));
  CHECK(holder.MayDrawForLoan("another team", kPaid, 501));
}

TEST(FleetHolder, HostsOfASmallFleetDoNotDrawForBorrowers) {
  FleetAccount account;
  account.heartbeats["host-1_1"] = {"boot", BootTime(0), "host-1:1", "domain"};
  holder = FleetHolder("host_a", "boot", "host_a:1", "domain");
  holder.LoadAccount(account, BootTime(1'000));
  CHECK(!holder.MayDrawForLoan(kTeam, kPaid, 1));
}

TEST(FleetHolder, DetectsThatAnotherProcessClosedIt) {
  holder.LoadAccount({}, BootTime(500));
  CHECK(!holder.is_closed());
  Grant(BootTime(1'000));
  FleetAccount account = holder.known_account();
  holder.LoadAccount(account, BootTime(1'500));
  CHECK(!holder.is_closed());
  CloseEnded(account, EarlierIncarnations(account, "host_b"),
             {"boot", BootTime(2'000)});
  holder.LoadAccount(account, BootTime(2'000));
  CHECK(holder.is_closed());
}

TEST(FleetHolder, LoweredPaidAmountGivesUnusedTokensBack) {
  Grant(BootTime(1'000));
  demands[kTeam].paid = 100;
  CHECK(holder.PlanWrite(demands, ledger, BootTime(1'500)));
  LONGS_EQUAL(
      0, holder.planned_account().budgets.at(kTeam).rows.at("host_a").Held());
  LONGS_EQUAL(0, ledger.Available(kTeam));
}

}  // namespace turmericwinch
