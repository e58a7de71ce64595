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

  LoanRequest MakeRequest(std::int64_t needed, std::int64_t smallest) {
    return {
        "borrower_1",
        "lender_1",
        "10.0.0.2:7201",
        {{kBudget, needed, smallest, 0, ledger.LoanOf("lender_1", kBudget)}}};
  }

  LoanGrant Send(const LoanRequest& request) {
    return lender.HandleRequest(request, lender_ledger, {}).grants.front();
  }

  void Apply(const LoanGrant& grant) {
    ledger.ApplyLoan("lender_1", grant.budget, grant.lent);
  }
};

TEST(FleetLender, LentTokensCountAsSpent) {
  Apply(Send(MakeRequest(600, 200)));
  LONGS_EQUAL(400, lender_ledger.Available(kBudget));
  LONGS_EQUAL(600, ledger.AvailableFrom("lender_1", kBudget));
  CHECK(ledger.Reserve(kBudget, 600, {}).outcome == ReserveOutcome::kReserved);
}

TEST(FleetLender, LendsForTheSmallestRequestIfAllIsTooMuch) {
  LONGS_EQUAL(300, Send(MakeRequest(5'000, 300)).lent);
  LONGS_EQUAL(700, lender_ledger.Available(kBudget));
}

TEST(FleetLender, AnswersShortIfItHasTooFewTokens) {
  CHECK(Send(MakeRequest(5'000, 1'001)).outcome == LoanOutcome::kShort);
  LONGS_EQUAL(1'000, lender_ledger.Available(kBudget));
}

TEST(FleetLender, RequestAfterALostResponseGetsTheSameLoan) {
  Send(MakeRequest(600, 600));
  const LoanGrant again = Send(MakeRequest(600, 600));
  LONGS_EQUAL(600, again.lent);
  Apply(again);
  Apply(again);
  LONGS_EQUAL(400, lender_ledger.Available(kBudget));
  LONGS_EQUAL(600, ledger.AvailableFrom("lender_1", kBudget));
}

TEST(FleetLender, ReturnedTokensAreCreditedOnce) {
  Apply(Send(MakeRequest(600, 600)));
  ledger.ReturnLoans("lender_1");
  Send(MakeRequest(0, 0));
  Send(MakeRequest(0, 0));
  LONGS_EQUAL(1'000, lender_ledger.Available(kBudget));
}

TEST(FleetLender, TotalsForAnEarlierProcessAreIgnored) {
  LoanRequest request = MakeRequest(100, 100);
  request.lender = "lender_0";
  CHECK(lender.HandleRequest(request, lender_ledger, {}).grants.empty());
  LONGS_EQUAL(1'000, lender_ledger.Available(kBudget));
}

TEST(FleetLender, FencedHostLendsNothing) {
  lender_ledger.Fence();
  CHECK(Send(MakeRequest(100, 100)).outcome == LoanOutcome::kShort);
}

}  // namespace turmericwinch
