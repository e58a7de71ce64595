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

// The operator releases a lender that ended while a live borrower still holds
// lent tokens.
TEST(LendingEnd, ReleaseWaitsForALiveBorrower) {
  CHECK(e.Borrow(a, kLentBudget, 400));
  CHECK(SpendLent(e, 100, "r1"));
  const std::uint64_t open = Open(e, 200);
  CHECK(open != 0);
  // Host a ends.
  CHECK(Release(platform, "d1", "a_1") == std::set<std::string>{"e_1"});
  CHECK(!c.Spend(kLentBudget, 601));
  CHECK(c.Spend(kLentBudget, 1));
  // Host e closes its loans from a, but first its stream is still open, and
  // then its bill is not flushed.
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

// Tokens in a response that arrives after the borrower closed the lender's
// loans must not be spent.
TEST(LendingEnd, DelayedResponseAfterTheCloseGivesNoTokens) {
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
  // Host e also sends no further reports to a.
  CHECK(e.ledger.Lenders().empty());
  CHECK(e.borrower.PendingReports(e.ledger).empty());
}

TEST(LendingEnd, BillsOfAnEndedBorrowerAreChargedAndTheRestIsReturned) {
  CHECK(e.Borrow(a, kLentBudget, 400));
  CHECK(SpendLent(e, 100, "r1"));
  CHECK(e.FlushBills());
  CHECK(SpendLent(e, 50, "lost with e"));
  // Host e ends without having reported its totals. The passing of time alone
  // returns nothing.
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

// A delayed request of a borrower arrives after the borrower has ended.
TEST(LendingEnd, EndedBorrowerGetsNoLoan) {
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

TEST(LendingEnd, LenderAndBorrowersEnd) {
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

// A paused lender is released because it was wrongly believed to have ended,
// and then resumes.
TEST(LendingEnd, ResumedLenderLendsNoFreedTokens) {
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

// The lender shuts down while a borrower has an open stream on lent tokens.
TEST(LendingEnd, ShutdownOfALenderWaitsForOpenStreams) {
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

// Each write of the acknowledgement and of the close may be lost, or take
// effect with its answer lost.
TEST(LendingEnd, AcknowledgementWithALostAnswerCountsOnce) {
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

// Borrower e ends and is removed from the list of lender a, and then a ends
// too. The tokens spent by e must stay charged, together with those spent by f
// that a received no report of.
TEST(LendingEnd, SpendOfABorrowerRemovedFromTheListStaysCharged) {
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

// As above, but a is about to close when it writes the list without e.
TEST(LendingEnd, CloseThatMustWaitKeepsListAndCountersConsistent) {
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

// Some of the tokens spent by e are in the counters of a, the others only in
// bill segments.
TEST(LendingEnd, BillsOfABorrowerAfterItsLenderEndedAreCharged) {
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

TEST(LendingEnd, EndedHoldersAreRemovedAfterADay) {
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
