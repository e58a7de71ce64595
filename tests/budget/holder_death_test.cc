#include <CppUTest/TestHarness.h>

#include <string>

#include "budget/test_host.h"
#include "libs/budget/budget_account.h"

namespace turmericwinch {

namespace {

constexpr char kBudget[] = "x";
constexpr int kIncarnationsADay = 250;
constexpr int kDays = 30;
constexpr int kDomains = 7;

}  // namespace

TEST_GROUP(HolderDeath) {
  FakePlatform platform;
  TestBudgets budgets{{kBudget, {1'000, 1, 50}}};
  TestHost a{platform, budgets, "d1", "a_1"};
  TestHost b{platform, budgets, "d1", "b_1"};

  // Tokens that no domain has, as the account says.
  std::int64_t AccountFree() {
    const auto& object =
        platform.objects.at(AccountObjectName(BucketOf(kBudget)));
    return ParseAccountBucket(object.value, nullptr)
        ->budgets.at(kBudget)
        .Free();
  }
};

TEST(HolderDeath, BillsThatLandedCountThoughCountersDidNot) {
  CHECK(a.Spend(kBudget, 300));
  a.Draw(kBudget, 200);
  CHECK(a.FlushBills());
  Release(platform, "d1", "a_1");
  LONGS_EQUAL(300, FiguresOf(platform, kBudget).spent);
  LONGS_EQUAL(700, FiguresOf(platform, kBudget).free);
  CHECK(b.Spend(kBudget, 700));
  CHECK(!b.Spend(kBudget, 1));
}

// A close writes ends, shard, account, and the end again.
TEST(HolderDeath, AReleaseInAnIdleDomainFreesTokensForAllDomains) {
  const PlatformFault faults[] = {PlatformFault::kNone,
                                  PlatformFault::kAnswerLost,
                                  PlatformFault::kCallLost};
  for (std::size_t n = 0; n < 4; ++n) {
    for (PlatformFault fault : faults) {
      platform.objects.clear();
      TestHost holder(platform, budgets, "d1", "c_1");
      CHECK(holder.Spend(kBudget, 300));
      holder.Draw(kBudget, 200);
      CHECK(holder.FlushBills());
      CHECK(AccountFree() < 700);
      platform.write_faults.assign(n, PlatformFault::kNone);
      platform.write_faults.push_back(fault);
      Release(platform, "d1", "c_1");
      LONGS_EQUAL(700, AccountFree());
      LONGS_EQUAL(300, FiguresOf(platform, kBudget).spent);
    }
  }
}

TEST(HolderDeath, AReleaseKeepsTokensInADomainThatHoldsSome) {
  a.Draw(kBudget, 200);
  b.Draw(kBudget, 200);
  const std::int64_t before = AccountFree();
  Release(platform, "d1", "a_1");
  LONGS_EQUAL(before, AccountFree());
}

TEST(HolderDeath, NothingIsFreedWithoutARelease) {
  CHECK(a.Spend(kBudget, 300));
  a.Draw(kBudget, 200);
  b.now += std::chrono::hours(24);
  CHECK(!b.Spend(kBudget, 501));
  CHECK(b.Spend(kBudget, 500));
}

TEST(HolderDeath, AReleasedHolderThatComesBackIsFenced) {
  a.Draw(kBudget, 200);
  Release(platform, "d1", "a_1");
  CHECK(b.Spend(kBudget, 1'000));
  a.Draw(kBudget, 300);
  CHECK(a.ledger.fenced());
  CHECK(a.ledger.Reserve(kBudget, 1, a.now).outcome == ReserveOutcome::kFenced);
  a.Flush();
  CHECK(b.Flush());
  LONGS_EQUAL(1'000, FiguresOf(platform, kBudget).spent);
  LONGS_EQUAL(0, FiguresOf(platform, kBudget).outstanding);
}

TEST(HolderDeath, AGracefulShutdownLeavesNoRow) {
  CHECK(a.Spend(kBudget, 300));
  a.ledger.GiveBackIdle(a.now, true);
  CHECK(a.Flush(true));
  CHECK(a.ledger.HeldBuckets().empty());
  LONGS_EQUAL(300, FiguresOf(platform, kBudget).spent);
  LONGS_EQUAL(700, FiguresOf(platform, kBudget).free);
}

// The write that closes the holder is lost, with or without effect.
TEST(HolderDeath, ALostAnswerToTheCloseCountsOnce) {
  for (PlatformFault fault :
       {PlatformFault::kAnswerLost, PlatformFault::kCallLost}) {
    FakePlatform faulty;
    TestHost host(faulty, budgets, "d1", "a_1");
    CHECK(host.Spend(kBudget, 300));
    CHECK(host.FlushBills());
    faulty.write_faults = {fault, fault};
    CHECK(host.Flush(true));
    LONGS_EQUAL(300, FiguresOf(faulty, kBudget).spent);
    LONGS_EQUAL(700, FiguresOf(faulty, kBudget).free);
  }
}

TEST(HolderDeath, AnOpenReservationKeepsTheRow) {
  a.Draw(kBudget, 300);
  const Reservation open = a.ledger.Reserve(kBudget, 100, a.now);
  a.ledger.GiveBackIdle(a.now, true);
  a.Flush(true);
  LONGS_EQUAL(100, FiguresOf(platform, kBudget).outstanding);
  CHECK(a.Settle(open.id, 60, "r"));
  a.ledger.GiveBackIdle(a.now, true);
  CHECK(a.Flush(true));
  LONGS_EQUAL(60, FiguresOf(platform, kBudget).spent);
  LONGS_EQUAL(940, FiguresOf(platform, kBudget).free);
}

TEST(HolderDeath, AMonthOfIncarnationsLeavesABucketSmall) {
  budgets[kBudget] = {1'000'000, 1, 50};
  for (int n = 0; n < kIncarnationsADay * kDays; ++n) {
    const std::string name = "host-17_" + std::to_string(n);
    const std::string domain = "d" + std::to_string(n % kDomains);
    TestHost host(platform, budgets, domain, name);
    CHECK(host.Spend(kBudget, 10));
    host.ledger.GiveBackIdle(host.now, true);
    // One in ten dies; its bills landed.
    if (n % 10 != 0)
      CHECK(host.Flush(true));
    else
      CHECK(host.FlushBills());
  }
  for (const auto& [name, object] : platform.objects)
    CHECK(object.value.size() < 100'000);
  LONGS_EQUAL(kIncarnationsADay * kDays, BilledRequests(platform).size());
}

}  // namespace turmericwinch
