// Loans between hosts of which none ends.

#include <CppUTest/TestHarness.h>

#include <string>
#include <utility>
#include <vector>

#include "budget/lending_fixture.h"
#include "libs/budget/budget_account.h"
#include "libs/budget/budget_constants.h"

namespace turmericwinch {

TEST_GROUP_BASE(Lending, LendingFixture){};

TEST(Lending, BorrowerSpendsLentTokens) {
  CHECK(e.Borrow(a, kLentBudget, 100));
  CHECK(SpendLent(e, 60, "r1"));
  Settle(e, a);
  const PlatformFigures figures = FiguresOf(platform, kLentBudget);
  LONGS_EQUAL(60, figures.spent);
  LONGS_EQUAL(kLentPaid, figures.spent + figures.outstanding + figures.free);
  LONGS_EQUAL(0, e.ledger.UnreportedLoans("a_1").size());
}

// The response with the loan is lost and the borrower sends no further request,
// so the lender has to send the loan again.
TEST(Lending, LoanWhoseResponseWasLostIsReturned) {
  e.RequestLoan(a, kLentBudget, 100);
  for (const OutgoingLoanRequest& it : e.DueLoanRequests())
    a.lender.HandleRequest(it.request, a.ledger, a.now);
  a.DrawForBorrowers();
  LONGS_EQUAL(100, a.ledger.Snapshot()[kLentBudget].lent);
  for (const OutgoingLoanResponse& it : a.lender.UnacknowledgedLoans())
    e.borrower.HandleResponse(it.response, e.ledger);
  e.now += kGrantIdleTime;
  e.ledger.GiveBackIdle(e.now, false);
  e.Exchange(a);
  LONGS_EQUAL(0, a.ledger.Snapshot()[kLentBudget].lent);
  CHECK(a.lender.UnacknowledgedLoans().empty());
}

// Runs each combination of lost, repeated and delayed requests and responses
// over two rounds.
TEST(Lending, MessagesCountOnceInAnyOrder) {
  for (int pattern = 0; pattern < 256; ++pattern) {
    FakePlatform own;
    TestHost lender(own, budgets, "d1", "a_1");
    TestHost host(own, budgets, "d1", "e_1");
    lender.lends = true;
    std::vector<OutgoingLoanRequest> late_requests;
    std::vector<LoanResponse> late_responses;
    for (int round = 0, rest = pattern; round < 2; ++round, rest /= 16) {
      host.RequestLoan(lender, kLentBudget, 100 * (round + 1));
      std::vector<LoanResponse> responses;
      for (const OutgoingLoanRequest& it : host.DueLoanRequests()) {
        const int copies = rest % 4;
        late_requests.push_back(it);
        for (int n = 0; n < copies && n < 2; ++n)
          responses.push_back(
              lender.lender.HandleRequest(it.request, lender.ledger, lender.now)
                  .response);
      }
      for (const OutgoingLoanResponse& it : lender.DrawForBorrowers())
        responses.push_back(it.response);
      for (const LoanResponse& it : responses) {
        const int copies = rest / 4 % 4;
        late_responses.push_back(it);
        for (int n = 0; n < copies && n < 2; ++n)
          host.borrower.HandleResponse(it, host.ledger);
      }
      host.now += kLoanRequestRetryPause;
    }
    std::reverse(late_responses.begin(), late_responses.end());
    for (const OutgoingLoanRequest& it : late_requests)
      late_responses.push_back(
          lender.lender.HandleRequest(it.request, lender.ledger, lender.now)
              .response);
    for (const LoanResponse& it : late_responses)
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

TEST(Lending, RepeatedRequestIsNotLentTwice) {
  e.RequestLoan(a, kLentBudget, 100);
  const OutgoingLoanRequest outgoing = e.DueLoanRequests().at(0);
  a.lender.HandleRequest(outgoing.request, a.ledger, a.now);
  a.lender.HandleRequest(outgoing.request, a.ledger, a.now);
  a.DrawForBorrowers();
  // The response is lost, and the request is repeated with the same totals.
  for (int n = 0; n < 3; ++n) {
    const LoanResponse response =
        a.lender.HandleRequest(outgoing.request, a.ledger, a.now).response;
    CHECK(response.grants.at(0).outcome == LoanOutcome::kOk);
    LONGS_EQUAL(100, response.grants.at(0).lent);
  }
  LONGS_EQUAL(100, a.ledger.Snapshot()[kLentBudget].lent);
}

TEST(Lending, UnlistedBorrowerGetsNoLoan) {
  a.Draw(kLentBudget, 500);
  e.RequestLoan(a, kLentBudget, 100);
  const OutgoingLoanRequest outgoing = e.DueLoanRequests().at(0);
  CHECK(a.lender.HandleRequest(outgoing.request, a.ledger, a.now)
            .response.grants.at(0)
            .outcome == LoanOutcome::kDrawing);
  platform.down = true;
  for (const OutgoingLoanResponse& it : a.DrawForBorrowers())
    CHECK(it.response.grants.at(0).lent == 0);
  LONGS_EQUAL(0, a.ledger.Snapshot()[kLentBudget].lent);
  platform.down = false;
  a.lender.HandleRequest(outgoing.request, a.ledger, a.now);
  LONGS_EQUAL(1, a.DrawForBorrowers().size());
  LONGS_EQUAL(100, a.ledger.Snapshot()[kLentBudget].lent);
}

TEST(Lending, StoppedLenderMergesReportsAndRefusesRequests) {
  CHECK(e.Borrow(a, kLentBudget, 100));
  a.Draw(kLentBudget, 500);
  CHECK(SpendLent(e, 60, "r1"));
  CHECK(e.FlushBills());
  a.lender.StopLending();
  e.now += kLoanRequestRetryPause;
  e.RequestLoan(a, kLentBudget, 200);
  const OutgoingLoanRequest outgoing = e.DueLoanRequests().at(0);
  const LoanResponse response =
      a.lender.HandleRequest(outgoing.request, a.ledger, a.now).response;
  CHECK(response.grants.at(0).outcome == LoanOutcome::kRefused);
  LONGS_EQUAL(1, e.borrower.HandleResponse(response, e.ledger).direct.size());
  LONGS_EQUAL(60, a.ledger.Snapshot()[kLentBudget].lent_billed);
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

TEST(Lending, ContinuesWhileThePlatformIsUnavailable) {
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
  std::vector<OutgoingLoanResponse> responses = a.DrawForBorrowers();
  CHECK(responses.at(0).response.grants.at(0).outcome ==
        LoanOutcome::kUnreachable);
  LONGS_EQUAL(1, e.borrower.HandleResponse(responses.at(0).response, e.ledger)
                     .direct.size());
  platform.down = false;
  Settle(e, a);
  LONGS_EQUAL(300, FiguresOf(platform, kLentBudget).spent);
}

TEST(Lending, BorrowerWithoutContactToItsLenderDrawsForItself) {
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

TEST(Lending, TooFewTokensAreReportedAsShort) {
  CHECK(c.Spend(kLentBudget, 950));
  e.RequestLoan(a, kLentBudget, 100);
  for (const OutgoingLoanRequest& it : e.DueLoanRequests())
    a.lender.HandleRequest(it.request, a.ledger, a.now);
  const std::vector<OutgoingLoanResponse> responses = a.DrawForBorrowers();
  CHECK(responses.at(0).response.grants.at(0).outcome == LoanOutcome::kShort);
  LONGS_EQUAL(1, e.borrower.HandleResponse(responses.at(0).response, e.ledger)
                     .short_of_tokens.size());
}

// When a budget is nearly used up, a lender must not hold back a stock for rare
// requests that hosts of other failure domains need.
TEST(Lending, StockShrinksWhenTheBudgetIsScarce) {
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
