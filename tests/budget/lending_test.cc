// Loans while all live.

#include <CppUTest/TestHarness.h>

#include <string>
#include <utility>
#include <vector>

#include "budget/lending_fixture.h"
#include "libs/budget/budget_account.h"
#include "libs/budget/budget_constants.h"

namespace turmericwinch {

TEST_GROUP_BASE(Lending, LendingFixture){};

TEST(Lending, ABorrowerSpendsWhatItWasLent) {
  CHECK(e.Borrow(a, kLentBudget, 100));
  CHECK(SpendLent(e, 60, "r1"));
  Settle(e, a);
  const PlatformFigures figures = FiguresOf(platform, kLentBudget);
  LONGS_EQUAL(60, figures.spent);
  LONGS_EQUAL(kLentPaid, figures.spent + figures.outstanding + figures.free);
  LONGS_EQUAL(0, e.ledger.UnreportedLoans("a_1").size());
}

// e never hears of a loan, and asks no more: a tells it again.
TEST(Lending, ALoanWhoseAnswerWasLostComesBack) {
  e.RequestLoan(a, kLentBudget, 100);
  for (const OutgoingLoanRequest& it : e.DueLoanRequests())
    a.lender.HandleRequest(it.request, a.ledger, a.now);
  a.DrawForBorrowers();
  LONGS_EQUAL(100, a.ledger.Figures()[kLentBudget].lent);
  for (const OutgoingLoanResponse& it : a.lender.UnacknowledgedLoans())
    e.borrower.HandleResponse(it.response, e.ledger);
  e.now += kGrantIdleTime;
  e.ledger.GiveBackIdle(e.now, false);
  e.Exchange(a);
  LONGS_EQUAL(0, a.ledger.Figures()[kLentBudget].lent);
  CHECK(a.lender.UnacknowledgedLoans().empty());
}

// Every pattern of ask and answer lost, repeated or late, over two rounds.
TEST(Lending, MessagesCountOnceInAnyOrder) {
  for (int pattern = 0; pattern < 256; ++pattern) {
    FakePlatform own;
    TestHost lender(own, budgets, "d1", "a_1");
    TestHost host(own, budgets, "d1", "e_1");
    lender.lends = true;
    std::vector<OutgoingLoanRequest> late_asks;
    std::vector<LoanResponse> late_answers;
    for (int round = 0, rest = pattern; round < 2; ++round, rest /= 16) {
      host.RequestLoan(lender, kLentBudget, 100 * (round + 1));
      std::vector<LoanResponse> answers;
      for (const OutgoingLoanRequest& it : host.DueLoanRequests()) {
        const int fate = rest % 4;
        late_asks.push_back(it);
        for (int n = 0; n < fate && n < 2; ++n)
          answers.push_back(
              lender.lender.HandleRequest(it.request, lender.ledger, lender.now)
                  .response);
      }
      for (const OutgoingLoanResponse& it : lender.DrawForBorrowers())
        answers.push_back(it.response);
      for (const LoanResponse& it : answers) {
        const int fate = rest / 4 % 4;
        late_answers.push_back(it);
        for (int n = 0; n < fate && n < 2; ++n)
          host.borrower.HandleResponse(it, host.ledger);
      }
      host.now += kLoanRequestRetryPause;
    }
    std::reverse(late_answers.begin(), late_answers.end());
    for (const OutgoingLoanRequest& it : late_asks)
      late_answers.push_back(
          lender.lender.HandleRequest(it.request, lender.ledger, lender.now)
              .response);
    for (const LoanResponse& it : late_answers)
      host.borrower.HandleResponse(it, host.ledger);
    host.now += kLoanRequestRetryPause;
    host.Exchange(lender);
    host.Exchange(lender);
    const LoanTotals totals = host.ledger.LoanOf("a_1", kLentBudget);
    const LedgerSnapshot figures = lender.ledger.Snapshot()[kLentBudget];
    LONGS_EQUAL(figures.lent, totals.received);
    CHECK(figures.lent >= 100 && figures.lent <= 600);
    CHECK(figures.counters.Outstanding() >= figures.lent);
  }
}

TEST(Lending, AnAskThatIsRepeatedIsNotLentTwice) {
  e.RequestLoan(a, kLentBudget, 100);
  const OutgoingLoanRequest ask = e.DueLoanRequests().at(0);
  a.lender.HandleRequest(ask.request, a.ledger, a.now);
  a.lender.HandleRequest(ask.request, a.ledger, a.now);
  a.DrawForBorrowers();
  // The answer is lost; the ask comes again, with the totals of before.
  for (int n = 0; n < 3; ++n) {
    const LoanResponse answer =
        a.lender.HandleRequest(ask.request, a.ledger, a.now).response;
    CHECK(answer.grants.at(0).outcome == LoanOutcome::kOk);
    LONGS_EQUAL(100, answer.grants.at(0).lent);
  }
  LONGS_EQUAL(100, a.ledger.Snapshot()[kLentBudget].lent);
}

TEST(Lending, NothingIsLentToWhomThePlatformDoesNotList) {
  a.Draw(kLentBudget, 500);
  e.RequestLoan(a, kLentBudget, 100);
  const OutgoingLoanRequest ask = e.DueLoanRequests().at(0);
  CHECK(a.lender.HandleRequest(ask.request, a.ledger, a.now)
            .response.grants.at(0)
            .outcome == LoanOutcome::kDrawing);
  platform.down = true;
  for (const OutgoingLoanResponse& it : a.DrawForBorrowers())
    CHECK(it.response.grants.at(0).lent == 0);
  LONGS_EQUAL(0, a.ledger.Figures()[kLentBudget].lent);
  platform.down = false;
  a.lender.HandleRequest(ask.request, a.ledger, a.now);
  LONGS_EQUAL(1, a.DrawForBorrowers().size());
  LONGS_EQUAL(100, a.ledger.Snapshot()[kLentBudget].lent);
}

TEST(Lending, ALenderThatStopsTakesReportsAndLendsNoMore) {
  CHECK(e.Borrow(a, kLentBudget, 100));
  a.Draw(kLentBudget, 500);
  CHECK(SpendLent(e, 60, "r1"));
  CHECK(e.FlushBills());
  a.lender.StopLending();
  e.now += kLoanRequestRetryPause;
  e.RequestLoan(a, kLentBudget, 200);
  const OutgoingLoanRequest ask = e.DueLoanRequests().at(0);
  const LoanResponse answer =
      a.lender.HandleRequest(ask.request, a.ledger, a.now).response;
  CHECK(answer.grants.at(0).outcome == LoanOutcome::kRefused);
  LONGS_EQUAL(1, e.borrower.HandleResponse(answer, e.ledger).direct.size());
  LONGS_EQUAL(60, a.ledger.Figures()[kLentBudget].lent_billed);
}

TEST(Lending, TwoLendersLendFromTheirOwnGrants) {
  budgets[kLentBudget] = {10'000, 1, 50};
  CHECK(e.Borrow(a, kLentBudget, 400));
  CHECK(f.Borrow(b, kLentBudget, 400));
  e.now += kLoanRequestRetryPause;
  CHECK(e.Borrow(b, kLentBudget, 500));
  CHECK(SpendableAt(e) >= 900);
  CHECK(SpendableAt(f) >= 400);
  CHECK(SpendableAt(e) + SpendableAt(f) + SpendableAt(a) + SpendableAt(b) <=
        FiguresOf(platform, kLentBudget).outstanding);
}

TEST(Lending, GoesOnWhileThePlatformIsAway) {
  CHECK(e.Borrow(a, kLentBudget, 100));
  a.Draw(kLentBudget, 400);
  platform.down = true;
  CHECK(SpendLent(e, 100, "r1"));
  e.now += kLoanRequestRetryPause;
  CHECK(e.Borrow(a, kLentBudget, 200));
  CHECK(SpendLent(e, 200, "r2"));
  e.now += kLoanRequestRetryPause;
  e.RequestLoan(a, kLentBudget, 900);
  for (const OutgoingLoanRequest& it : e.DueLoanRequests())
    a.lender.HandleRequest(it.request, a.ledger, a.now);
  std::vector<OutgoingLoanResponse> answers = a.DrawForBorrowers();
  CHECK(answers.at(0).response.grants.at(0).outcome ==
        LoanOutcome::kUnreachable);
  LONGS_EQUAL(1, e.borrower.HandleResponse(answers.at(0).response, e.ledger)
                     .direct.size());
  platform.down = false;
  Settle(e, a);
  LONGS_EQUAL(300, FiguresOf(platform, kLentBudget).spent);
}

TEST(Lending, ABorrowerCutOffFromItsLenderDrawsForItself) {
  CHECK(e.Borrow(a, kLentBudget, 100));
  e.RequestLoan(a, kLentBudget, 300);
  LONGS_EQUAL(1, e.borrower.DueRequests(e.ledger, e.now).size());
  CHECK(e.borrower.TakeExpired(e.now).empty());
  e.now += kLoanRequestTimeout;
  const GrantRequests expired = e.borrower.TakeExpired(e.now);
  LONGS_EQUAL(300, expired.at(kLentBudget).needed);
  CHECK(e.borrower.IsUnresponsive(a.address(), e.now));
  e.Draw(kLentBudget, 300);
  CHECK(e.Spend(kLentBudget, 300));
  CHECK(SpendLent(e, 100, "of a"));
  Settle(e, a);
  CHECK(e.Flush());
  LONGS_EQUAL(400, FiguresOf(platform, kLentBudget).spent);
}

TEST(Lending, ShortIsSaidAsShort) {
  CHECK(c.Spend(kLentBudget, 950));
  e.RequestLoan(a, kLentBudget, 100);
  for (const OutgoingLoanRequest& it : e.DueLoanRequests())
    a.lender.HandleRequest(it.request, a.ledger, a.now);
  const std::vector<OutgoingLoanResponse> answers = a.DrawForBorrowers();
  CHECK(answers.at(0).response.grants.at(0).outcome == LoanOutcome::kShort);
  LONGS_EQUAL(1, e.borrower.HandleResponse(answers.at(0).response, e.ledger)
                     .short_of_tokens.size());
}

// As a budget ends, the stock for rare requests is found from other domains.
TEST(Lending, AStockShrinksWhenTheBudgetIsScarce) {
  budgets[kLentBudget] = {100'000, 1, 50};
  for (int n = 0; n < 20; ++n) {
    e.now += kLoanRequestRetryPause;
    CHECK(e.Borrow(a, kLentBudget, 50 * (n + 1)));
  }
  const std::int64_t stock = a.ledger.Available(kLentBudget);
  CHECK(stock > 0);
  CHECK(c.Spend(kLentBudget, FiguresOf(platform, kLentBudget).free - 100));
  a.StartRound(kLentBudget, 0, false, true);
  while (a.Step()) {
  }
  CHECK(a.ledger.Available(kLentBudget) <= 100'000 / 100);
  CHECK(c.Spend(kLentBudget, 100));
}

}  // namespace turmericwinch
