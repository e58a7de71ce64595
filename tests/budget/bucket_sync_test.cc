#include "libs/budget/bucket_sync.h"

#include <CppUTest/TestHarness.h>

#include <limits>
#include <vector>

#include "budget/test_host.h"
#include "libs/budget/budget_account.h"
#include "libs/budget/budget_constants.h"

namespace turmericwinch {

namespace {

constexpr char kBudget[] = "x";

}  // namespace

TEST_GROUP(BucketSync) {
  FakePlatform platform;
  TestBudgets budgets{{kBudget, {1'000, 1, 50}}};
  TestHost a{platform, budgets, "d1", "a_1"};
  TestHost b{platform, budgets, "d1", "b_1"};
  TestHost c{platform, budgets, "d2", "c_1"};

  void CheckFigures(std::int64_t spent, std::int64_t outstanding,
                    std::int64_t free) {
    const PlatformFigures figures = FiguresOf(platform, kBudget);
    LONGS_EQUAL(spent, figures.spent);
    LONGS_EQUAL(outstanding, figures.outstanding);
    LONGS_EQUAL(free, figures.free);
    LONGS_EQUAL(figures.paid, spent + outstanding + free);
  }
};

TEST(BucketSync, DrawsAndAccountsForSpend) {
  CHECK(a.Spend(kBudget, 100));
  CheckFigures(0, 100, 900);
  CHECK(a.Flush());
  CheckFigures(100, 0, 900);
}

// Every pattern of faults on the writes of a draw, the first four of them.
TEST(BucketSync, NoFaultOfAWriteDrawsTwice) {
  const PlatformFault faults[] = {PlatformFault::kNone,
                                  PlatformFault::kAnswerLost,
                                  PlatformFault::kCallLost};
  for (int pattern = 0; pattern < 81; ++pattern) {
    FakePlatform faulty;
    TestHost host(faulty, budgets, "d1", "a_1");
    for (int n = 0, rest = pattern; n < 4; ++n, rest /= 3)
      faulty.write_faults.push_back(faults[rest % 3]);
    CHECK(host.Draw(kBudget, 100).reason.code == ResultCode::kOk);
    LONGS_EQUAL(100, host.ledger.Available(kBudget));
    const PlatformFigures figures = FiguresOf(faulty, kBudget);
    LONGS_EQUAL(100, figures.outstanding);
    LONGS_EQUAL(900, figures.free);
  }
}

// The platform goes down after each call of a draw in turn, with the last
// answer lost, and comes back: what was granted is found again.
TEST(BucketSync, OutageDuringADrawStrandsNothing) {
  for (int calls = 0; calls < 7; ++calls) {
    FakePlatform faulty;
    TestHost host(faulty, budgets, "d1", "a_1");
    int made = 0;
    faulty.fault_of = [&](const PlatformCall&) {
      ++made;
      if (made > calls)
        return PlatformFault::kRefused;
      return made == calls ? PlatformFault::kAnswerLost : PlatformFault::kNone;
    };
    host.Draw(kBudget, 100);
    faulty.fault_of = nullptr;
    CHECK(host.Flush());
    LONGS_EQUAL(FiguresOf(faulty, kBudget).outstanding,
                host.ledger.Available(kBudget));
    CHECK(host.Spend(kBudget, 1'000));
  }
}

TEST(BucketSync, ServesFromItsGrantDuringAnOutage) {
  a.Draw(kBudget, 300);
  platform.down = true;
  CHECK(a.Spend(kBudget, 200));
  CHECK(!a.Spend(kBudget, 200));
  CHECK(a.Draw(kBudget, 200).reason.code == ResultCode::kPlatformUnavailable);
  CHECK(!a.Flush());
  platform.down = false;
  CHECK(a.Flush());
  CheckFigures(200, 100, 700);
  LONGS_EQUAL(1, BilledRequests(platform).size());
}

TEST(BucketSync, TwoHostsDrawOnOneBucketAtOnce) {
  for (int first = 1; first < 12; ++first) {
    FakePlatform shared;
    TestHost left(shared, budgets, "d1", "a_1");
    TestHost right(shared, budgets, "d1", "b_1");
    left.StartRound(kBudget, 600);
    right.StartRound(kBudget, 600);
    for (int n = 0; n < first; ++n)
      left.Step();
    while (right.Step()) {
    }
    while (left.Step()) {
    }
    const std::int64_t sum =
        left.ledger.Available(kBudget) + right.ledger.Available(kBudget);
    LONGS_EQUAL(600, sum);
    LONGS_EQUAL(400, FiguresOf(shared, kBudget).free);
  }
}

// One big request must not keep small ones from the rest of the budget.
TEST(BucketSync, GrantsTheRestToRequestsThatFit) {
  GrantRequests wishes;
  a.ledger.AddGrantRequest(kBudget, 900);
  a.ledger.AddGrantRequest(kBudget, 300);
  const GrantRequest wish = a.ledger.TakeGrantRequests().at(0);
  LONGS_EQUAL(1'200, wish.needed);
  LONGS_EQUAL(300, wish.smallest);
  BucketSyncParts parts{
      BucketOf(kBudget), "d1", "a_1",
      [&](const std::string&) {
        return std::optional<BudgetSetting>(budgets.at(kBudget));
      },
      [] { return 1; }};
  BucketSync sync(parts);
  sync.BeginRound({{kBudget, wish}}, false);
  while (auto call = sync.NextCall(a.ledger))
    sync.HandleAnswer(platform.Call(*call), a.ledger);
  CHECK(sync.result().short_of_tokens.empty());
  LONGS_EQUAL(1'000, a.ledger.Available(kBudget));
}

TEST(BucketSync, LastTokensAreFoundInAnotherDomain) {
  CHECK(a.Spend(kBudget, 400));
  a.Draw(kBudget, 600);
  CHECK(!c.Spend(kBudget, 500));
  CHECK(b.Spend(kBudget, 0));
  a.ledger.GiveBackIdle(a.now, true);
  // b holds a token, so the domain keeps what a gave back.
  b.Draw(kBudget, 1);
  CHECK(a.Flush());
  CHECK(c.Spend(kBudget, 500));
  CHECK(c.Flush());
  CheckFigures(900, 0, 100);
}

TEST(BucketSync, AnIdleDomainReturnsItsAllocation) {
  a.rate = 1;
  CHECK(a.Spend(kBudget, 10));
  a.now += kGrantIdleTime;
  a.ledger.GiveBackIdle(a.now, false);
  CHECK(a.Flush());
  CheckFigures(10, 0, 990);
  Reason reason;
  auto bucket = ParseAccountBucket(
      platform.objects[AccountObjectName(BucketOf(kBudget))].value, &reason);
  LONGS_EQUAL(990, bucket->budgets[kBudget].Free());
}

TEST(BucketSync, AReturnCutOffFromTheAccountIsMadeUpFor) {
  CHECK(a.Spend(kBudget, 10));
  a.Draw(kBudget, 500);
  a.ledger.GiveBackIdle(a.now, true);
  // Bills, then the shard; the account's write is lost.
  platform.write_faults = {PlatformFault::kNone, PlatformFault::kNone,
                           PlatformFault::kRefused};
  CHECK(!a.Flush());
  CHECK(c.Spend(kBudget, 990));
  CHECK(a.Flush());
  CHECK(c.Flush());
  CheckFigures(1'000, 0, 0);
}

TEST(BucketSync, RefusesAsUnreachableWhenADomainCannotBeRead) {
  a.Draw(kBudget, 1'000);
  const std::string shard = ShardObjectName("d1", BucketOf(kBudget));
  platform.fault_of = [&](const PlatformCall& call) {
    return call.name == shard ? PlatformFault::kRefused : PlatformFault::kNone;
  };
  const SyncResult result = c.Draw(kBudget, 10);
  LONGS_EQUAL(1, result.short_of_tokens.size());
  CHECK(!result.complete);
}

TEST(BucketSync, LoweringBelowWhatIsGrantedTakesEffectAsGrantsReturn) {
  a.Draw(kBudget, 800);
  budgets[kBudget] = {500, 2, 50};
  CHECK(!c.Spend(kBudget, 100));
  CHECK(a.Spend(kBudget, 100));
  c.Draw(kBudget, 1);
  CHECK(FiguresOf(platform, kBudget).free <= 0);
  a.ledger.GiveBackIdle(a.now, true);
  CHECK(a.Flush());
  c.Draw(kBudget, 1);
  LONGS_EQUAL(500, FiguresOf(platform, kBudget).paid);
  CHECK(c.Spend(kBudget, 400));
  CHECK(!c.Spend(kBudget, 1));
}

TEST(BucketSync, TopUpDuringAPartitionReachesWhoIsConnected) {
  a.Draw(kBudget, 1'000);
  CHECK(!c.Spend(kBudget, 500));
  const std::string name = AccountObjectName(BucketOf(kBudget));
  Reason reason;
  auto bucket = ParseAccountBucket(platform.objects[name].value, &reason);
  CHECK(TopUp(bucket->budgets[kBudget], 500, "t1"));
  CHECK(!TopUp(bucket->budgets[kBudget], 500, "t1"));
  platform.Call({PlatformVerb::kUpdate,
                 name,
                 platform.objects[name].version,
                 ToJson(*bucket),
                 {}});
  CHECK(c.Spend(kBudget, 500));
  CHECK(a.Spend(kBudget, 1'000));
  CHECK(!c.Spend(kBudget, 1));
}

TEST(BucketSync, CountersNearTheEndOfTheRange) {
  const std::int64_t most = std::numeric_limits<std::int64_t>::max();
  budgets[kBudget] = {most, 2, 100};
  a.rate = 1e17;
  c.rate = 1e17;
  CHECK(a.Spend(kBudget, most / 2));
  CHECK(a.Flush());
  CHECK(c.Draw(kBudget, most / 2 - 10).reason.code == ResultCode::kOk);
  const PlatformFigures figures = FiguresOf(platform, kBudget);
  CHECK(figures.free >= 0 && figures.outstanding >= 0);
  CHECK(figures.spent == most / 2);
  CHECK(!a.Spend(kBudget, most));
}

TEST(BucketSync, SeventeenThousandBudgetsAtStartFitTheirObjects) {
  // Eight of the 256 buckets stand for all.
  for (int n = 0; n < 17'000; ++n) {
    const std::string name = "budget-of-a-team-" + std::to_string(n);
    if (BucketOf(name) < 8)
      budgets[name] = {1'000, 1, 50};
  }
  std::size_t largest = 0;
  for (const auto& [name, setting] : budgets)
    CHECK(a.Draw(name, 1).reason.code == ResultCode::kOk);
  for (const auto& [name, object] : platform.objects)
    largest = std::max(largest, object.value.size());
  CHECK(largest < 100'000);
}

}  // namespace turmericwinch
