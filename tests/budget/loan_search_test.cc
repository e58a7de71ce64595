#include "libs/budget/loan_search.h"

#include <CppUTest/TestHarness.h>

#include <memory>

#include "libs/budget/fleet_lender.h"

namespace turmericwinch {

namespace {

using std::chrono::milliseconds;

constexpr char kBudget[] = "team";
const MonotonicTime kStart{std::chrono::seconds(100)};

// Another host of the fleet, which lends tokens.
struct OtherHost {
  explicit OtherHost(const std::string& name, std::int64_t open)
      : ledger(name + "_1"), lender(name + "_1", name + ":1") {
    ledger.ApplyGrant(kBudget, open);
  }

  HostLedger ledger;
  FleetLender lender;
};

}  // namespace

TEST_GROUP(LoanSearch) {
  HostLedger ledger{"own_1"};
  LoanSearch search{"own_1", "own:1"};
  FleetAccount account;
  std::map<std::string, std::unique_ptr<OtherHost>> others;
  Reason reason{ResultCode::kBudgetUnreachable, "cut off"};

  void AddOther(const std::string& name, std::int64_t held, std::int64_t open) {
    others[name + ":1"] = std::make_unique<OtherHost>(name, open);
    account.budgets[kBudget].rows[name + "_1"] = {held, 0, open};
    account.heartbeats[name + "_1"] = {"boot", BootTime(0), name + ":1"};
  }

  void Start(std::int64_t needed, std::int64_t smallest) {
    search.Start({kBudget, needed, smallest}, LoanScope::kFleet,
                 FindLenders(account, kBudget, "own_1"), reason, kStart);
  }

  // Delivers the due requests to the hosts that answer. Returns the address of
  // the last request; empty if none was due.
  std::string Step(MonotonicTime now) {
    std::string asked;
    for (const OutgoingLoanRequest& it : search.DueRequests(ledger, now)) {
      asked = it.address;
      auto other = others.find(it.address);
      if (other != others.end())
        search.HandleResponse(other->second->lender.HandleRequest(
                                  it.request, other->second->ledger, now),
                              ledger, now);
    }
    return asked;
  }
};

TEST(LoanSearch, AsksTheHostWithMostTokensFirst) {
  AddOther("few", 1'000, 1'000);
  AddOther("many", 5'000, 5'000);
  Start(800, 800);
  STRCMP_EQUAL("many:1", Step(kStart).c_str());
  LONGS_EQUAL(800, ledger.AvailableFrom("many_1", kBudget));
  CHECK(!search.IsSearching(kBudget));
}

// All hosts lose contact to the account, and a team's requests arrive at a host
// that holds none of its tokens. Without loans each request was refused, though
// other hosts held enough tokens for a minute.
TEST(LoanSearch, HostsWithoutContactToTheStoreBorrowFromEachOther) {
  AddOther("a", 3'000, 3'000);
  AddOther("b", 2'000, 2'000);
  constexpr std::int64_t kCost = 400;
  int served = 0;
  for (int n = 0; n < 20; ++n) {
    if (ledger.Reserve(kBudget, kCost, kStart).outcome !=
        ReserveOutcome::kReserved) {
      Start(kCost, kCost);
      while (!Step(kStart).empty()) {
      }
      if (ledger.Reserve(kBudget, kCost, kStart).outcome !=
          ReserveOutcome::kReserved)
        continue;
    }
    ++served;
  }
  LONGS_EQUAL(5'000 / kCost, served);
  CHECK(others["a:1"]->ledger.Available(kBudget) < kCost);
  CHECK(others["b:1"]->ledger.Available(kBudget) < kCost);
}

TEST(LoanSearch, UnresponsiveHostIsSkippedAndNotAskedAgainForAWhile) {
  AddOther("silent", 9'000, 0);
  others.erase("silent:1");
  AddOther("other", 1'000, 1'000);
  Start(800, 800);
  STRCMP_EQUAL("silent:1", Step(kStart).c_str());
  STRCMP_EQUAL("", Step(kStart + kLoanResponseTimeout / 2).c_str());
  STRCMP_EQUAL("other:1", Step(kStart + kLoanResponseTimeout).c_str());
  others["other:1"]->ledger.ApplyGrant(kBudget, 2'000);
  Start(900, 900);
  STRCMP_EQUAL("other:1", Step(kStart + kLoanResponseTimeout).c_str());
}

TEST(LoanSearch, FailsOnceNoHostIsLeft) {
  AddOther("few", 1'000, 100);
  Start(800, 800);
  STRCMP_EQUAL("few:1", Step(kStart).c_str());
  CHECK(search.IsSearching(kBudget));
  STRCMP_EQUAL("", Step(kStart).c_str());
  CHECK(!search.IsSearching(kBudget));
  const std::vector<FailedLoanSearch> failed = search.TakeFailed();
  LONGS_EQUAL(1, failed.size());
  LONGS_EQUAL(800, failed[0].request.smallest);
  STRCMP_EQUAL("cut off", failed[0].reason.text.c_str());
  CHECK(search.TakeFailed().empty());
}

// Guards against a small request that is refused for good, with 402, because
// the budget does not cover a large one that waits beside it.
TEST(LoanSearch, AFailedSearchHasTheReasonOfItsSmallestRequest) {
  AddOther("a", 1'000, 100);
  const Reason small_reason = reason;
  reason = {ResultCode::kBudgetExhausted, "exhausted"};
  Start(60'000, 60'000);
  reason = small_reason;
  Start(500, 500);
  reason = {ResultCode::kBudgetExhausted, "exhausted"};
  Start(70'000, 70'000);
  while (!Step(kStart).empty()) {
  }
  const std::vector<FailedLoanSearch> failed = search.TakeFailed();
  LONGS_EQUAL(1, failed.size());
  LONGS_EQUAL(500, failed[0].request.smallest);
  CHECK(failed[0].reason.code == ResultCode::kBudgetUnreachable);
}

TEST(LoanSearch, LenderThatDrawsTokensIsWaitedForAndStaysResponsive) {
  AddOther("keeper", 1'000, 0);
  AddOther("other", 500, 500);
  Start(800, 800);
  const OutgoingLoanRequest asked = search.DueRequests(ledger, kStart).at(0);
  STRCMP_EQUAL("keeper:1", asked.address.c_str());
  search.HandleResponse({"keeper_1",
                         "own_1",
                         "keeper:1",
                         {{kBudget, 0, 0, LoanOutcome::kDrawing}}},
                        ledger, kStart);
  STRCMP_EQUAL("", Step(kStart + kLoanResponseTimeout).c_str());
  const MonotonicTime late = kStart + kLoanDrawTimeout;
  STRCMP_EQUAL("other:1", Step(late).c_str());
  STRCMP_EQUAL("", Step(late).c_str());
  CHECK(!search.IsSearching(kBudget));
  LONGS_EQUAL(1, search.TakeFailed().size());
  others["keeper:1"]->ledger.ApplyGrant(kBudget, 800);
  Start(800, 800);
  STRCMP_EQUAL("keeper:1", Step(late).c_str());
  LONGS_EQUAL(800, ledger.AvailableFrom("keeper_1", kBudget));
}

// A loan may arrive between the request that needs tokens and the search.
TEST(LoanSearch, ARequestThatALoanHasCoveredAsksForNoNegativeAmount) {
  AddOther("lender", 5'000, 5'000);
  Start(800, 800);
  Step(kStart);
  LONGS_EQUAL(800, ledger.AvailableFrom("lender_1", kBudget));
  Start(300, 200);
  const auto requests = search.DueRequests(ledger, kStart);
  LONGS_EQUAL(1, requests.size());
  const LoanRequestItem& item = requests[0].request.items[0];
  CHECK(item.smallest > 0);
  CHECK(item.needed >= item.smallest);
}

TEST(LoanSearch, HostsWithoutAnAddressOrTokensAreNotAsked) {
  AddOther("empty", 0, 0);
  AddOther("mute", 1'000, 1'000);
  account.heartbeats["mute_1"].address = "";
  account.budgets[kBudget].rows["own_1"] = {500, 0, 500};
  account.heartbeats["own_1"] = {"boot", BootTime(0), "own:1"};
  CHECK(FindLenders(account, kBudget, "own_1").empty());
}

}  // namespace turmericwinch
