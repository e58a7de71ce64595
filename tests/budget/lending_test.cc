#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "budget/test_host.h"
#include "libs/budget/budget_account.h"
#include "libs/budget/budget_constants.h"

namespace turmericwinch {

namespace {

constexpr char kBudget[] = "x";
constexpr std::int64_t kPaid = 1'000;

}  // namespace

// a lends to e and f, all of one domain; c is in another.
TEST_GROUP(Lending) {
  FakePlatform platform;
  TestBudgets budgets{{kBudget, {kPaid, 1, 50}}};
  TestHost a{platform, budgets, "d1", "a_1"};
  TestHost b{platform, budgets, "d1", "b_1"};
  TestHost e{platform, budgets, "d1", "e_1"};
  TestHost f{platform, budgets, "d1", "f_1"};
  TestHost c{platform, budgets, "d2", "c_1"};

  void setup() override {
    a.lends = b.lends = true;
  }

  // Reserves of the lender's tokens; 0 if that is not possible.
  std::uint64_t Open(TestHost & host, std::int64_t tokens) {
    return host.ledger.Reserve(kBudget, tokens, host.now).id;
  }

  bool SpendLent(TestHost & host, std::int64_t tokens, const char* request) {
    const std::uint64_t id = Open(host, tokens);
    return id != 0 && host.Settle(id, tokens, request);
  }

  // All that a request anywhere can still be given.
  std::int64_t SpendableAt(TestHost & host) {
    std::int64_t tokens =
        std::max<std::int64_t>(host.ledger.Available(kBudget), 0);
    for (const std::string& it : host.ledger.Lenders())
      tokens += host.ledger.AvailableFrom(it, kBudget);
    return tokens;
  }

  // Has everybody report, and a write its counters.
  void Settle(TestHost & host, TestHost & lender) {
    CHECK(host.FlushBills());
    host.Exchange(lender);
    CHECK(lender.Flush());
  }
};

TEST(Lending, ABorrowerSpendsWhatItWasLent) {
  CHECK(e.Borrow(a, kBudget, 100));
  CHECK(SpendLent(e, 60, "r1"));
  Settle(e, a);
  const PlatformFigures figures = FiguresOf(platform, kBudget);
  LONGS_EQUAL(60, figures.spent);
  LONGS_EQUAL(kPaid, figures.spent + figures.outstanding + figures.free);
  LONGS_EQUAL(0, e.ledger.UnreportedLoans("a_1").size());
}

// e never hears of a loan, and asks no more: a tells it again.
TEST(Lending, ALoanWhoseAnswerWasLostComesBack) {
  e.Want(a, kBudget, 100);
  for (const OutgoingAsk& it : e.Asks())
    a.lender.Take(it.ask, a.ledger, a.now);
  a.DrawForBorrowers();
  LONGS_EQUAL(100, a.ledger.Figures()[kBudget].lent);
  for (const OutgoingAnswer& it : a.lender.Unheard())
    e.borrower.Take(it.answer, e.ledger);
  e.now += kGrantIdle;
  e.ledger.GiveBackIdle(e.now, false);
  e.Exchange(a);
  LONGS_EQUAL(0, a.ledger.Figures()[kBudget].lent);
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
      host.Want(lender, kBudget, 100 * (round + 1));
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
    const LoanTotals totals = host.ledger.LoanOf("a_1", kBudget);
    const LedgerFigures figures = lender.ledger.Figures()[kBudget];
    LONGS_EQUAL(figures.lent, totals.received);
    CHECK(figures.lent >= 100 && figures.lent <= 600);
    CHECK(figures.counters.Outstanding() >= figures.lent);
  }
}

TEST(Lending, AnAskThatIsRepeatedIsNotLentTwice) {
  e.Want(a, kBudget, 100);
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
  LONGS_EQUAL(100, a.ledger.Figures()[kBudget].lent);
}

TEST(Lending, NothingIsLentToWhomThePlatformDoesNotList) {
  a.Draw(kBudget, 500);
  e.Want(a, kBudget, 100);
  const OutgoingAsk ask = e.Asks().at(0);
  CHECK(a.lender.Take(ask.ask, a.ledger, a.now).answer.grants.at(0).outcome ==
        LoanOutcome::kDrawing);
  platform.down = true;
  for (const OutgoingAnswer& it : a.DrawForBorrowers())
    CHECK(it.answer.grants.at(0).lent == 0);
  LONGS_EQUAL(0, a.ledger.Figures()[kBudget].lent);
  platform.down = false;
  a.lender.Take(ask.ask, a.ledger, a.now);
  LONGS_EQUAL(1, a.DrawForBorrowers().size());
  LONGS_EQUAL(100, a.ledger.Figures()[kBudget].lent);
}

// The operator releases a dead lender while a borrower lives and holds tokens.
TEST(Lending, ReleaseWaitsForALiveBorrower) {
  CHECK(e.Borrow(a, kBudget, 400));
  CHECK(SpendLent(e, 100, "r1"));
  const std::uint64_t open = Open(e, 200);
  CHECK(open != 0);
  // a dies.
  CHECK(Release(platform, "d1", "a_1") == std::set<std::string>{"e_1"});
  CHECK(!c.Spend(kBudget, 601));
  CHECK(c.Spend(kBudget, 1));
  // e closes with a, but its stream is open, then its bill not flushed.
  e.LookForEnds();
  LONGS_EQUAL(0, SpendableAt(e));
  CHECK(!c.Spend(kBudget, 600));
  CHECK(e.Settle(open, 150, "r2"));
  LONGS_EQUAL(1, e.LookForEnds().waits_for.size());
  CHECK(e.FlushBills());
  e.LookForEnds();
  LONGS_EQUAL(0, e.LookForEnds().waits_for.size());
  LONGS_EQUAL(250, FiguresOf(platform, kBudget).spent);
  CHECK(c.Spend(kBudget, 749));
  CHECK(!c.Spend(kBudget, 1));
}

// What e is told after it closed with a is not spent.
TEST(Lending, ALateAnswerAfterTheCloseGivesNothing) {
  CHECK(e.Borrow(a, kBudget, 100));
  e.now += kAskPause;
  e.Want(a, kBudget, 300);
  std::vector<OutgoingAnswer> late;
  for (const OutgoingAsk& it : e.Asks())
    late.push_back(a.lender.Take(it.ask, a.ledger, a.now));
  for (OutgoingAnswer& it : a.DrawForBorrowers())
    late.push_back(std::move(it));
  CHECK(!late.empty());
  CHECK(late.back().answer.grants.at(0).lent >= 300);
  Release(platform, "d1", "a_1");
  e.LookForEnds();
  e.LookForEnds();
  for (const OutgoingAnswer& it : late)
    e.borrower.Take(it.answer, e.ledger);
  LONGS_EQUAL(0, SpendableAt(e));
  LONGS_EQUAL(kPaid, FiguresOf(platform, kBudget).free);
  // Nor does e go on reporting to it.
  CHECK(e.ledger.Lenders().empty());
  CHECK(e.borrower.Reports(e.ledger).empty());
}

TEST(Lending, ALenderThatStopsTakesReportsAndLendsNoMore) {
  CHECK(e.Borrow(a, kBudget, 100));
  a.Draw(kBudget, 500);
  CHECK(SpendLent(e, 60, "r1"));
  CHECK(e.FlushBills());
  a.lender.Stop();
  e.now += kAskPause;
  e.Want(a, kBudget, 200);
  const OutgoingAsk ask = e.Asks().at(0);
  const LoanAnswer answer = a.lender.Take(ask.ask, a.ledger, a.now).answer;
  CHECK(answer.grants.at(0).outcome == LoanOutcome::kRefused);
  LONGS_EQUAL(1, e.borrower.Take(answer, e.ledger).direct.size());
  LONGS_EQUAL(60, a.ledger.Figures()[kBudget].lent_billed);
}

TEST(Lending, ADeadBorrowersBillsAreChargedAndTheRestComesBack) {
  CHECK(e.Borrow(a, kBudget, 400));
  CHECK(SpendLent(e, 100, "r1"));
  CHECK(e.FlushBills());
  CHECK(SpendLent(e, 50, "lost with e"));
  // e dies, its totals unreported. A time-out changes nothing.
  a.now += std::chrono::hours(24);
  a.LookForEnds();
  LONGS_EQUAL(400, a.ledger.Figures()[kBudget].lent);
  Release(platform, "d1", "e_1");
  a.LookForEnds();
  LONGS_EQUAL(0, a.ledger.Figures()[kBudget].lent);
  a.ledger.GiveBackIdle(a.now, true);
  CHECK(a.Flush(true));
  LONGS_EQUAL(100, FiguresOf(platform, kBudget).spent);
  LONGS_EQUAL(kPaid - 100, FiguresOf(platform, kBudget).free);
}

// An ask of a borrower that has ended comes late.
TEST(Lending, NothingIsLentToABorrowerThatEnded) {
  CHECK(e.Borrow(a, kBudget, 100));
  e.now += kAskPause;
  e.Want(a, kBudget, 300);
  const std::vector<OutgoingAsk> late = e.Asks();
  Release(platform, "d1", "e_1");
  a.LookForEnds();
  for (const OutgoingAsk& it : late) {
    for (const LoanGrant& grant :
         a.lender.Take(it.ask, a.ledger, a.now).answer.grants)
      CHECK(grant.outcome == LoanOutcome::kRefused);
  }
  LONGS_EQUAL(0, a.ledger.Figures()[kBudget].lent);
}

TEST(Lending, BothDie) {
  CHECK(e.Borrow(a, kBudget, 300));
  CHECK(f.Borrow(a, kBudget, 300));
  CHECK(SpendLent(e, 100, "r1"));
  CHECK(SpendLent(f, 70, "r2"));
  CHECK(e.FlushBills());
  CHECK(f.FlushBills());
  CHECK(Release(platform, "d1", "a_1") ==
        (std::set<std::string>{"e_1", "f_1"}));
  CHECK(Release(platform, "d1", "e_1").empty());
  CHECK(Release(platform, "d1", "a_1") == std::set<std::string>{"f_1"});
  LONGS_EQUAL(0, FiguresOf(platform, kBudget).spent);
  f.LookForEnds();
  f.LookForEnds();
  LONGS_EQUAL(170, FiguresOf(platform, kBudget).spent);
  LONGS_EQUAL(kPaid - 170, FiguresOf(platform, kBudget).free);
}

// a is taken for dead, released on a false word, wakes up and acts.
TEST(Lending, APausedLenderThatWakesLendsNothingThatWasFreed) {
  CHECK(e.Borrow(a, kBudget, 200));
  Release(platform, "d1", "a_1");
  e.LookForEnds();
  e.LookForEnds();
  LONGS_EQUAL(kPaid, FiguresOf(platform, kBudget).free);
  CHECK(c.Spend(kBudget, kPaid));
  e.now += kAskPause;
  e.Want(a, kBudget, 300);
  e.Exchange(a);
  LONGS_EQUAL(0, SpendableAt(e));
  a.LookForEnds();
  CHECK(a.ledger.fenced());
  CHECK(!e.Borrow(a, kBudget, 50));
}

TEST(Lending, TwoLendersLendFromTheirOwnGrants) {
  budgets[kBudget] = {10'000, 1, 50};
  CHECK(e.Borrow(a, kBudget, 400));
  CHECK(f.Borrow(b, kBudget, 400));
  e.now += kAskPause;
  CHECK(e.Borrow(b, kBudget, 500));
  CHECK(SpendableAt(e) >= 900);
  CHECK(SpendableAt(f) >= 400);
  CHECK(SpendableAt(e) + SpendableAt(f) + SpendableAt(a) + SpendableAt(b) <=
        FiguresOf(platform, kBudget).outstanding);
}

// a shuts down while e still streams on its tokens.
TEST(Lending, AGracefulEndOfALenderWaitsForOpenStreams) {
  CHECK(e.Borrow(a, kBudget, 300));
  const std::uint64_t open = Open(e, 100);
  e.ledger.ReturnLoans("a_1");
  e.Exchange(a);
  a.ledger.GiveBackIdle(a.now, true);
  CHECK(!a.Flush(true));
  a.LookForEnds(true);
  LONGS_EQUAL(100, FiguresOf(platform, kBudget).outstanding);
  CHECK(e.Settle(open, 80, "r1"));
  e.LookForEnds();
  CHECK(e.FlushBills());
  e.LookForEnds();
  e.LookForEnds();
  LONGS_EQUAL(80, FiguresOf(platform, kBudget).spent);
  LONGS_EQUAL(kPaid - 80, FiguresOf(platform, kBudget).free);
}

// Each write of an acknowledgement and a close is lost, with or without effect.
TEST(Lending, ALostAnswerToAnAcknowledgementCountsOnce) {
  const PlatformFault faults[] = {PlatformFault::kNone,
                                  PlatformFault::kAnswerLost,
                                  PlatformFault::kCallLost};
  for (int pattern = 0; pattern < 81; ++pattern) {
    FakePlatform own;
    TestHost lender(own, budgets, "d1", "a_1");
    TestHost host(own, budgets, "d1", "e_1");
    lender.lends = true;
    CHECK(host.Borrow(lender, kBudget, 400));
    CHECK(SpendLent(host, 100, "r1"));
    CHECK(host.FlushBills());
    Release(own, "d1", "a_1");
    for (int n = 0, rest = pattern; n < 4; ++n, rest /= 3)
      own.write_faults.push_back(faults[rest % 3]);
    for (int n = 0; n < 4; ++n)
      host.LookForEnds();
    LONGS_EQUAL(100, FiguresOf(own, kBudget).spent);
    LONGS_EQUAL(kPaid - 100, FiguresOf(own, kBudget).free);
  }
}

// e ends and goes off a's list; then a ends too. What e spent stays charged,
// beside what f spent that a never heard of.
TEST(Lending, SpendOfABorrowerThatWentOffTheListStaysCharged) {
  CHECK(e.Borrow(a, kBudget, 100));
  CHECK(f.Borrow(a, kBudget, 100));
  CHECK(SpendLent(e, 40, "r1"));
  CHECK(SpendLent(f, 70, "r2"));
  CHECK(e.FlushBills());
  CHECK(f.FlushBills());
  Release(platform, "d1", "e_1");
  a.LookForEnds();
  CHECK(a.Flush());
  LONGS_EQUAL(40, FiguresOf(platform, kBudget).spent);
  Release(platform, "d1", "f_1");
  Release(platform, "d1", "a_1");
  LONGS_EQUAL(110, FiguresOf(platform, kBudget).spent);
  LONGS_EQUAL(kPaid - 110, FiguresOf(platform, kBudget).free);
}

// The same, but a is about to close when it writes that e is off its list.
TEST(Lending, ACloseThatMustWaitKeepsListAndCountersInStep) {
  CHECK(e.Borrow(a, kBudget, 100));
  CHECK(f.Borrow(a, kBudget, 100));
  CHECK(SpendLent(e, 40, "r1"));
  CHECK(e.FlushBills());
  Release(platform, "d1", "e_1");
  a.LookForEnds();
  CHECK(!a.Flush(true));
  Release(platform, "d1", "f_1");
  Release(platform, "d1", "a_1");
  LONGS_EQUAL(40, FiguresOf(platform, kBudget).spent);
}

// Part of what e spent reached a's counters, part only the segments.
TEST(Lending, BillsOfABorrowerAfterTheLendersEndAreCharged) {
  CHECK(e.Borrow(a, kBudget, 400));
  CHECK(SpendLent(e, 100, "r1"));
  Settle(e, a);
  CHECK(a.Spend(kBudget, 30));
  CHECK(a.FlushBills());
  CHECK(SpendLent(e, 50, "r2"));
  Release(platform, "d1", "a_1");
  CHECK(SpendLent(e, 20, "r3"));
  e.LookForEnds();
  CHECK(e.FlushBills());
  e.LookForEnds();
  e.LookForEnds();
  LONGS_EQUAL(200, FiguresOf(platform, kBudget).spent);
  LONGS_EQUAL(kPaid - 200, FiguresOf(platform, kBudget).free);
  LONGS_EQUAL(4, BilledRequests(platform).size());
}

TEST(Lending, GoesOnWhileThePlatformIsAway) {
  CHECK(e.Borrow(a, kBudget, 100));
  a.Draw(kBudget, 400);
  platform.down = true;
  CHECK(SpendLent(e, 100, "r1"));
  e.now += kAskPause;
  CHECK(e.Borrow(a, kBudget, 200));
  CHECK(SpendLent(e, 200, "r2"));
  e.now += kAskPause;
  e.Want(a, kBudget, 900);
  for (const OutgoingAsk& it : e.Asks())
    a.lender.Take(it.ask, a.ledger, a.now);
  std::vector<OutgoingAnswer> answers = a.DrawForBorrowers();
  CHECK(answers.at(0).answer.grants.at(0).outcome == LoanOutcome::kUnreachable);
  LONGS_EQUAL(1, e.borrower.Take(answers.at(0).answer, e.ledger).direct.size());
  platform.down = false;
  Settle(e, a);
  LONGS_EQUAL(300, FiguresOf(platform, kBudget).spent);
}

TEST(Lending, ABorrowerCutOffFromItsLenderDrawsForItself) {
  CHECK(e.Borrow(a, kBudget, 100));
  e.Want(a, kBudget, 300);
  LONGS_EQUAL(1, e.borrower.Due(e.ledger, e.now).size());
  CHECK(e.borrower.TakeExpired(e.now).empty());
  e.now += kAskPatience;
  const GrantWishes expired = e.borrower.TakeExpired(e.now);
  LONGS_EQUAL(300, expired.at(kBudget).needed);
  CHECK(e.borrower.IsSilent(a.address(), e.now));
  e.Draw(kBudget, 300);
  CHECK(e.Spend(kBudget, 300));
  CHECK(SpendLent(e, 100, "of a"));
  Settle(e, a);
  CHECK(e.Flush());
  LONGS_EQUAL(400, FiguresOf(platform, kBudget).spent);
}

TEST(Lending, ShortIsSaidAsShort) {
  CHECK(c.Spend(kBudget, 950));
  e.Want(a, kBudget, 100);
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
  budgets[kBudget] = {100'000, 1, 50};
  for (int n = 0; n < 20; ++n) {
    e.now += kAskPause;
    CHECK(e.Borrow(a, kBudget, 50 * (n + 1)));
  }
  const std::int64_t stock = a.ledger.Available(kBudget);
  CHECK(stock > 0);
  CHECK(c.Spend(kBudget, FiguresOf(platform, kBudget).free - 100));
  a.StartTurn(kBudget, 0, false, true);
  while (a.Step()) {
  }
  CHECK(a.ledger.Available(kBudget) <= 100'000 / 100);
  CHECK(c.Spend(kBudget, 100));
}

TEST(Lending, EndsAreForgottenAfterADay) {
  HolderEnds ends;
  ends.ended["a_1"] = {0, true};
  ends.ended["b_1"] = {0, false};
  ends.acknowledged["e_1"] = {"a_1", "b_1"};
  CHECK(!ends.ended.empty() && ends.Forget(kEndRemembered.count()));
  LONGS_EQUAL(2, ends.ended.size());
  CHECK(ends.Forget(kEndRemembered.count() + 1));
  LONGS_EQUAL(1, ends.ended.size());
  CHECK(ends.Open("b_1", {"e_1"}).empty());
  Reason reason;
  const auto read = HolderEndsOf(ToJson(ends), &reason);
  CHECK(read && read->ended.contains("b_1"));
  LONGS_EQUAL(1, read->acknowledged.at("e_1").size());
}

}  // namespace turmericwinch
