// Loans whose lender or borrower ends.

#include <CppUTest/TestHarness.h>

#include <string>
#include <utility>
#include <vector>

#include "budget/lending_fixture.h"
#include "libs/budget/budget_account.h"
#include "libs/budget/budget_constants.h"

namespace turmericwinch {

TEST_GROUP_BASE(LendingEnd, LendingFixture){};

// The operator releases a dead lender while a borrower lives and holds tokens.
TEST(LendingEnd, ReleaseWaitsForALiveBorrower) {
  CHECK(e.Borrow(a, kLentBudget, 400));
  CHECK(SpendLent(e, 100, "r1"));
  const std::uint64_t open = Open(e, 200);
  CHECK(open != 0);
  // a dies.
  CHECK(Release(platform, "d1", "a_1") == std::set<std::string>{"e_1"});
  CHECK(!c.Spend(kLentBudget, 601));
  CHECK(c.Spend(kLentBudget, 1));
  // e closes with a, but its stream is open, then its bill not flushed.
  e.RunClosingRound();
  LONGS_EQUAL(0, SpendableAt(e));
  CHECK(!c.Spend(kLentBudget, 600));
  CHECK(e.Settle(open, 150, "r2"));
  LONGS_EQUAL(1, e.RunClosingRound().waits_for.size());
  CHECK(e.FlushBills());
  e.RunClosingRound();
  LONGS_EQUAL(0, e.RunClosingRound().waits_for.size());
  LONGS_EQUAL(250, FiguresOf(platform, kLentBudget).spent);
  CHECK(c.Spend(kLentBudget, 749));
  CHECK(!c.Spend(kLentBudget, 1));
}

// What e is told after it closed with a is not spent.
TEST(LendingEnd, ALateAnswerAfterTheCloseGivesNothing) {
  CHECK(e.Borrow(a, kLentBudget, 100));
  e.now += kLoanRequestRetryPause;
  e.RequestLoan(a, kLentBudget, 300);
  std::vector<OutgoingLoanResponse> late;
  for (const OutgoingLoanRequest& it : e.DueLoanRequests())
    late.push_back(a.lender.HandleRequest(it.request, a.ledger, a.now));
  for (OutgoingLoanResponse& it : a.DrawForBorrowers())
    late.push_back(std::move(it));
  CHECK(!late.empty());
  CHECK(late.back().response.grants.at(0).lent >= 300);
  Release(platform, "d1", "a_1");
  e.RunClosingRound();
  e.RunClosingRound();
  for (const OutgoingLoanResponse& it : late)
    e.borrower.HandleResponse(it.response, e.ledger);
  LONGS_EQUAL(0, SpendableAt(e));
  LONGS_EQUAL(kLentPaid, FiguresOf(platform, kLentBudget).free);
  // Nor does e go on reporting to it.
  CHECK(e.ledger.Lenders().empty());
  CHECK(e.borrower.PendingReports(e.ledger).empty());
}

TEST(LendingEnd, ADeadBorrowersBillsAreChargedAndTheRestComesBack) {
  CHECK(e.Borrow(a, kLentBudget, 400));
  CHECK(SpendLent(e, 100, "r1"));
  CHECK(e.FlushBills());
  CHECK(SpendLent(e, 50, "lost with e"));
  // e dies, its totals unreported. A time-out changes nothing.
  a.now += std::chrono::hours(24);
  a.RunClosingRound();
  LONGS_EQUAL(400, a.ledger.Snapshot()[kLentBudget].lent);
  Release(platform, "d1", "e_1");
  a.RunClosingRound();
  LONGS_EQUAL(0, a.ledger.Snapshot()[kLentBudget].lent);
  a.ledger.GiveBackIdle(a.now, true);
  CHECK(a.Flush(true));
  LONGS_EQUAL(100, FiguresOf(platform, kLentBudget).spent);
  LONGS_EQUAL(kLentPaid - 100, FiguresOf(platform, kLentBudget).free);
}

// An ask of a borrower that has ended comes late.
TEST(LendingEnd, NothingIsLentToABorrowerThatEnded) {
  CHECK(e.Borrow(a, kLentBudget, 100));
  e.now += kLoanRequestRetryPause;
  e.RequestLoan(a, kLentBudget, 300);
  const std::vector<OutgoingLoanRequest> late = e.DueLoanRequests();
  Release(platform, "d1", "e_1");
  a.RunClosingRound();
  for (const OutgoingLoanRequest& it : late) {
    for (const LoanGrant& grant :
         a.lender.HandleRequest(it.request, a.ledger, a.now).response.grants)
      CHECK(grant.outcome == LoanOutcome::kRefused);
  }
  LONGS_EQUAL(0, a.ledger.Snapshot()[kLentBudget].lent);
}

TEST(LendingEnd, BothDie) {
  CHECK(e.Borrow(a, kLentBudget, 300));
  CHECK(f.Borrow(a, kLentBudget, 300));
  CHECK(SpendLent(e, 100, "r1"));
  CHECK(SpendLent(f, 70, "r2"));
  CHECK(e.FlushBills());
  CHECK(f.FlushBills());
  CHECK(Release(platform, "d1", "a_1") ==
        (std::set<std::string>{"e_1", "f_1"}));
  CHECK(Release(platform, "d1", "e_1").empty());
  CHECK(Release(platform, "d1", "a_1") == std::set<std::string>{"f_1"});
  LONGS_EQUAL(0, FiguresOf(platform, kLentBudget).spent);
  f.RunClosingRound();
  f.RunClosingRound();
  LONGS_EQUAL(170, FiguresOf(platform, kLentBudget).spent);
  LONGS_EQUAL(kLentPaid - 170, FiguresOf(platform, kLentBudget).free);
}

// a is taken for dead, released on a false word, wakes up and acts.
TEST(LendingEnd, APausedLenderThatWakesLendsNothingThatWasFreed) {
  CHECK(e.Borrow(a, kLentBudget, 200));
  Release(platform, "d1", "a_1");
  e.RunClosingRound();
  e.RunClosingRound();
  LONGS_EQUAL(kLentPaid, FiguresOf(platform, kLentBudget).free);
  CHECK(c.Spend(kLentBudget, kLentPaid));
  e.now += kLoanRequestRetryPause;
  e.RequestLoan(a, kLentBudget, 300);
  e.Exchange(a);
  LONGS_EQUAL(0, SpendableAt(e));
  a.RunClosingRound();
  CHECK(a.ledger.fenced());
  CHECK(!e.Borrow(a, kLentBudget, 50));
}

// a shuts down while e still streams on its tokens.
TEST(LendingEnd, AGracefulEndOfALenderWaitsForOpenStreams) {
  CHECK(e.Borrow(a, kLentBudget, 300));
  const std::uint64_t open = Open(e, 100);
  e.ledger.ReturnLoans("a_1");
  e.Exchange(a);
  a.ledger.GiveBackIdle(a.now, true);
  CHECK(!a.Flush(true));
  a.RunClosingRound(true);
  LONGS_EQUAL(100, FiguresOf(platform, kLentBudget).outstanding);
  CHECK(e.Settle(open, 80, "r1"));
  e.RunClosingRound();
  CHECK(e.FlushBills());
  e.RunClosingRound();
  e.RunClosingRound();
  LONGS_EQUAL(80, FiguresOf(platform, kLentBudget).spent);
  LONGS_EQUAL(kLentPaid - 80, FiguresOf(platform, kLentBudget).free);
}

// Each write of an acknowledgement and a close is lost, with or without effect.
TEST(LendingEnd, ALostAnswerToAnAcknowledgementCountsOnce) {
  const PlatformFault faults[] = {PlatformFault::kNone,
                                  PlatformFault::kAnswerLost,
                                  PlatformFault::kCallLost};
  for (int pattern = 0; pattern < 81; ++pattern) {
    FakePlatform own;
    TestHost lender(own, budgets, "d1", "a_1");
    TestHost host(own, budgets, "d1", "e_1");
    lender.lends = true;
    CHECK(host.Borrow(lender, kLentBudget, 400));
    CHECK(SpendLent(host, 100, "r1"));
    CHECK(host.FlushBills());
    Release(own, "d1", "a_1");
    for (int n = 0, rest = pattern; n < 4; ++n, rest /= 3)
      own.write_faults.push_back(faults[rest % 3]);
    for (int n = 0; n < 4; ++n)
      host.RunClosingRound();
    LONGS_EQUAL(100, FiguresOf(own, kLentBudget).spent);
    LONGS_EQUAL(kLentPaid - 100, FiguresOf(own, kLentBudget).free);
  }
}

// e ends and goes off a's list; then a ends too. What e spent stays charged,
// beside what f spent that a never heard of.
TEST(LendingEnd, SpendOfABorrowerThatWentOffTheListStaysCharged) {
  CHECK(e.Borrow(a, kLentBudget, 100));
  CHECK(f.Borrow(a, kLentBudget, 100));
  CHECK(SpendLent(e, 40, "r1"));
  CHECK(SpendLent(f, 70, "r2"));
  CHECK(e.FlushBills());
  CHECK(f.FlushBills());
  Release(platform, "d1", "e_1");
  a.RunClosingRound();
  CHECK(a.Flush());
  LONGS_EQUAL(40, FiguresOf(platform, kLentBudget).spent);
  Release(platform, "d1", "f_1");
  Release(platform, "d1", "a_1");
  LONGS_EQUAL(110, FiguresOf(platform, kLentBudget).spent);
  LONGS_EQUAL(kLentPaid - 110, FiguresOf(platform, kLentBudget).free);
}

// The same, but a is about to close when it writes that e is off its list.
TEST(LendingEnd, ACloseThatMustWaitKeepsListAndCountersInStep) {
  CHECK(e.Borrow(a, kLentBudget, 100));
  CHECK(f.Borrow(a, kLentBudget, 100));
  CHECK(SpendLent(e, 40, "r1"));
  CHECK(e.FlushBills());
  Release(platform, "d1", "e_1");
  a.RunClosingRound();
  CHECK(!a.Flush(true));
  Release(platform, "d1", "f_1");
  Release(platform, "d1", "a_1");
  LONGS_EQUAL(40, FiguresOf(platform, kLentBudget).spent);
}

// Part of what e spent reached a's counters, part only the segments.
TEST(LendingEnd, BillsOfABorrowerAfterTheLendersEndAreCharged) {
  CHECK(e.Borrow(a, kLentBudget, 400));
  CHECK(SpendLent(e, 100, "r1"));
  Settle(e, a);
  CHECK(a.Spend(kLentBudget, 30));
  CHECK(a.FlushBills());
  CHECK(SpendLent(e, 50, "r2"));
  Release(platform, "d1", "a_1");
  CHECK(SpendLent(e, 20, "r3"));
  e.RunClosingRound();
  CHECK(e.FlushBills());
  e.RunClosingRound();
  e.RunClosingRound();
  LONGS_EQUAL(200, FiguresOf(platform, kLentBudget).spent);
  LONGS_EQUAL(kLentPaid - 200, FiguresOf(platform, kLentBudget).free);
  LONGS_EQUAL(4, BilledRequests(platform).size());
}

TEST(LendingEnd, EndsAreForgottenAfterADay) {
  EndedHolders ends;
  ends.ended["a_1"] = {0, true};
  ends.ended["b_1"] = {0, false};
  ends.acknowledged["e_1"] = {"a_1", "b_1"};
  CHECK(!ends.ended.empty() &&
        ends.RemoveExpired(kEndedHolderRetention.count()));
  LONGS_EQUAL(2, ends.ended.size());
  CHECK(ends.RemoveExpired(kEndedHolderRetention.count() + 1));
  LONGS_EQUAL(1, ends.ended.size());
  CHECK(ends.OpenBorrowers("b_1", {"e_1"}).empty());
  Reason reason;
  const auto read = ParseEndedHolders(ToJson(ends), &reason);
  CHECK(read && read->ended.contains("b_1"));
  LONGS_EQUAL(1, read->acknowledged.at("e_1").size());
}

}  // namespace turmericwinch
