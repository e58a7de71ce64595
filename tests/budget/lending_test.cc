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
  e.Want(a, kLentBudget, 100);
  for (const OutgoingAsk& it : e.Asks())
    a.lender.Take(it.ask, a.ledger, a.now);
  a.DrawForBorrowers();
  LONGS_EQUAL(100, a.ledger.Snapshot()[kLentBudget].lent);
  for (const OutgoingAnswer& it : a.lender.Unheard())
    e.borrower.Take(it.answer, e.ledger);
  e.now += kGrantIdle;
  e.ledger.GiveBackIdle(e.now, false);
  e.Exchange(a);
  LONGS_EQUAL(0, a.ledger.Snapshot()[kLentBudget].lent);
  CHECK(a.lender.Unheard().empty());
}

// Every pattern of ask and answer lost, repeated or late, over two rounds.
TEST(Lending, MessagesCountOnceInAnyOrder) {
  for (int pattern = 0; pattern < 256; ++pattern) {
    FakePlatform own;
    TestHost lender(own, budgets, "d1", "a_1");
    TestHost host(own, budgets, "d1", "e_1");
    lender.lends = true;
    std::vector<OutgoingAsk> late_asks;
    std::vector<LoanAnswer> late_answers;
    for (int round = 0, rest = pattern; round < 2; ++round, rest /= 16) {
      host.Want(lender, kLentBudget, 100 * (round + 1));
      std::vector<LoanAnswer> answers;
      for (const OutgoingAsk& it : host.Asks()) {
        const int fate = rest % 4;
        late_asks.push_back(it);
        for (int n = 0; n < fate && n < 2; ++n)
          answers.push_back(
              lender.lender.Take(it.ask, lender.ledger, lender.now).answer);
      }
      for (const OutgoingAnswer& it : lender.DrawForBorrowers())
        answers.push_back(it.answer);
      for (const LoanAnswer& it : answers) {
        const int fate = rest / 4 % 4;
        late_answers.push_back(it);
        for (int n = 0; n < fate && n < 2; ++n)
          host.borrower.Take(it, host.ledger);
      }
      host.now += kAskPause;
    }
    std::reverse(late_answers.begin(), late_answers.end());
    for (const OutgoingAsk& it : late_asks)
      late_answers.push_back(
          lender.lender.Take(it.ask, lender.ledger, lender.now).answer);
    for (const LoanAnswer& it : late_answers)
      host.borrower.Take(it, host.ledger);
    host.now += kAskPause;
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
  e.Want(a, kLentBudget, 100);
  const OutgoingAsk ask = e.Asks().at(0);
  a.lender.Take(ask.ask, a.ledger, a.now);
  a.lender.Take(ask.ask, a.ledger, a.now);
  a.DrawForBorrowers();
  // The answer is lost; the ask comes again, with the totals of before.
  for (int n = 0; n < 3; ++n) {
    const LoanAnswer answer = a.lender.Take(ask.ask, a.ledger, a.now).answer;
    CHECK(answer.grants.at(0).outcome == LoanOutcome::kOk);
    LONGS_EQUAL(100, answer.grants.at(0).lent);
  }
  LONGS_EQUAL(100, a.ledger.Snapshot()[kLentBudget].lent);
}

TEST(Lending, NothingIsLentToWhomThePlatformDoesNotList) {
  a.Draw(kLentBudget, 500);
  e.Want(a, kLentBudget, 100);
  const OutgoingAsk ask = e.Asks().at(0);
  CHECK(a.lender.Take(ask.ask, a.ledger, a.now).answer.grants.at(0).outcome ==
        LoanOutcome::kDrawing);
  platform.down = true;
  for (const OutgoingAnswer& it : a.DrawForBorrowers())
    CHECK(it.answer.grants.at(0).lent == 0);
  LONGS_EQUAL(0, a.ledger.Snapshot()[kLentBudget].lent);
  platform.down = false;
  a.lender.Take(ask.ask, a.ledger, a.now);
  LONGS_EQUAL(1, a.DrawForBorrowers().size());
  LONGS_EQUAL(100, a.ledger.Snapshot()[kLentBudget].lent);
}

TEST(Lending, ALenderThatStopsTakesReportsAndLendsNoMore) {
  CHECK(e.Borrow(a, kLentBudget, 100));
  a.Draw(kLentBudget, 500);
  CHECK(SpendLent(e, 60, "r1"));
  CHECK(e.FlushBills());
  a.lender.Stop();
  e.now += kAskPause;
  e.Want(a, kLentBudget, 200);
  const OutgoingAsk ask = e.Asks().at(0);
  const LoanAnswer answer = a.lender.Take(ask.ask, a.ledger, a.now).answer;
  CHECK(answer.grants.at(0).outcome == LoanOutcome::kRefused);
  LONGS_EQUAL(1, e.borrower.Take(answer, e.ledger).direct.size());
  LONGS_EQUAL(60, a.ledger.Snapshot()[kLentBudget].lent_billed);
}

TEST(Lending, TwoLendersLendFromTheirOwnGrants) {
  budgets[kLentBudget] = {10'000, 1, 50};
  CHECK(e.Borrow(a, kLentBudget, 400));
  CHECK(f.Borrow(b, kLentBudget, 400));
  e.now += kAskPause;
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
  e.now += kAskPause;
  CHECK(e.Borrow(a, kLentBudget, 200));
  CHECK(SpendLent(e, 200, "r2"));
  e.now += kAskPause;
  e.Want(a, kLentBudget, 900);
  for (const OutgoingAsk& it : e.Asks())
    a.lender.Take(it.ask, a.ledger, a.now);
  std::vector<OutgoingAnswer> answers = a.DrawForBorrowers();
  CHECK(answers.at(0).answer.grants.at(0).outcome == LoanOutcome::kUnreachable);
  LONGS_EQUAL(1, e.borrower.Take(answers.at(0).answer, e.ledger).direct.size());
  platform.down = false;
  Settle(e, a);
  LONGS_EQUAL(300, FiguresOf(platform, kLentBudget).spent);
}

TEST(Lending, ABorrowerCutOffFromItsLenderDrawsForItself) {
  CHECK(e.Borrow(a, kLentBudget, 100));
  e.Want(a, kLentBudget, 300);
  LONGS_EQUAL(1, e.borrower.Due(e.ledger, e.now).size());
  CHECK(e.borrower.TakeExpired(e.now).empty());
  e.now += kAskPatience;
  const GrantRequests expired = e.borrower.TakeExpired(e.now);
  LONGS_EQUAL(300, expired.at(kLentBudget).needed);
  CHECK(e.borrower.IsSilent(a.address(), e.now));
  e.Draw(kLentBudget, 300);
  CHECK(e.Spend(kLentBudget, 300));
  CHECK(SpendLent(e, 100, "of a"));
  Settle(e, a);
  CHECK(e.Flush());
  LONGS_EQUAL(400, FiguresOf(platform, kLentBudget).spent);
}

TEST(Lending, ShortIsSaidAsShort) {
  CHECK(c.Spend(kLentBudget, 950));
  e.Want(a, kLentBudget, 100);
  for (const OutgoingAsk& it : e.Asks())
    a.lender.Take(it.ask, a.ledger, a.now);
  const std::vector<OutgoingAnswer> answers = a.DrawForBorrowers();
  CHECK(answers.at(0).answer.grants.at(0).outcome == LoanOutcome::kShort);
  LONGS_EQUAL(
      1,
      e.borrower.Take(answers.at(0).answer, e.ledger).short_of_tokens.size());
}

// As a budget ends, the stock for rare requests is found from other domains.
TEST(Lending, AStockShrinksWhenTheBudgetIsScarce) {
  budgets[kLentBudget] = {100'000, 1, 50};
  for (int n = 0; n < 20; ++n) {
    e.now += kAskPause;
    CHECK(e.Borrow(a, kLentBudget, 50 * (n + 1)));
  }
  const std::int64_t stock = a.ledger.Available(kLentBudget);
  CHECK(stock > 0);
  CHECK(c.Spend(kLentBudget, FiguresOf(platform, kLentBudget).free - 100));
  a.StartTurn(kLentBudget, 0, false, true);
  while (a.Step()) {
  }
  CHECK(a.ledger.Available(kLentBudget) <= 100'000 / 100);
  CHECK(c.Spend(kLentBudget, 100));
}

}  // namespace turmericwinch
