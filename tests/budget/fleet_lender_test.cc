#include "libs/budget/fleet_lender.h"

#include <CppUTest/TestHarness.h>

namespace turmericwinch {

namespace {

constexpr char kBudget[] = "team";

}  // namespace

TEST_GROUP(FleetLender) {
  HostLedger lender_ledger{"lender_1"};
  HostLedger ledger{"borrower_1"};
  FleetLender lender{"lender_1", "10.0.0.1:7201"};

  void setup() override {
    lender_ledger.ApplyGrant(kBudget, 1'000);
  }

  LoanRequest Ask(std::int64_t needed, std::int64_t smallest) {
    return {
        "borrower_1",
        "lender_1",
        "10.0.0.2:7201",
        {{kBudget, needed, smallest, 0, ledger.LoanOf("lender_1", kBudget)}}};
  }

  LoanGrant Take(const LoanRequest& ask) {
    return lender.HandleRequest(ask, lender_ledger, {}).grants.front();
  }

  void Apply(const LoanGrant& grant) {
    ledger.ApplyLoan("lender_1", grant.budget, grant.lent);
  }
};

TEST(FleetLender, WhatIsLentCountsAsSpent) {
  Apply(Take(Ask(600, 200)));
  LONGS_EQUAL(400, lender_ledger.Available(kBudget));
  LONGS_EQUAL(600, ledger.AvailableFrom("lender_1", kBudget));
  CHECK(ledger.Reserve(kBudget, 600, {}).outcome == ReserveOutcome::kReserved);
}

TEST(FleetLender, LendsForTheSmallestIfAllIsTooMuch) {
  LONGS_EQUAL(300, Take(Ask(5'000, 300)).lent);
  LONGS_EQUAL(700, lender_ledger.Available(kBudget));
}

TEST(FleetLender, SaysThatItHasTooFew) {
  CHECK(Take(Ask(5'000, 1'001)).outcome == LoanOutcome::kShort);
  LONGS_EQUAL(1'000, lender_ledger.Available(kBudget));
}

TEST(FleetLender, AnAskAfterALostAnswerGetsTheSameLoan) {
  Take(Ask(600, 600));
  const LoanGrant again = Take(Ask(600, 600));
  LONGS_EQUAL(600, again.lent);
  Apply(again);
  Apply(again);
  LONGS_EQUAL(400, lender_ledger.Available(kBudget));
  LONGS_EQUAL(600, ledger.AvailableFrom("lender_1", kBudget));
}

TEST(FleetLender, ReturnedTokensAreItsOwnAgainOnce) {
  Apply(Take(Ask(600, 600)));
  ledger.ReturnLoans("lender_1");
  Take(Ask(0, 0));
  Take(Ask(0, 0));
  LONGS_EQUAL(1'000, lender_ledger.Available(kBudget));
}

TEST(FleetLender, TotalsOfAnEarlierProcessAreNotTakenForItsOwn) {
  LoanRequest ask = Ask(100, 100);
  ask.lender = "lender_0";
  CHECK(lender.HandleRequest(ask, lender_ledger, {}).grants.empty());
  LONGS_EQUAL(1'000, lender_ledger.Available(kBudget));
}

TEST(FleetLender, AHostThatWasClosedLendsNothing) {
  lender_ledger.Fence();
  CHECK(Take(Ask(100, 100)).outcome == LoanOutcome::kShort);
}

}  // namespace turmericwinch
