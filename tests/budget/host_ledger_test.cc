#include "libs/budget/host_ledger.h"

#include <CppUTest/TestHarness.h>

namespace turmericwinch {

namespace {

const MonotonicTime kStart;

Bill BillOver(std::int64_t tokens) {
  Bill bill;
  bill.tokens = tokens;
  return bill;
}

}  // namespace

TEST_GROUP(HostLedger){};

TEST(HostLedger, ReservesOnlyWhatIsGranted) {
  HostLedger ledger("a");
  CHECK(ledger.Reserve("x", 10, kStart).outcome == ReserveOutcome::kNeedsGrant);
  ledger.ApplyGrant("x", 15);
  CHECK(ledger.Reserve("x", 10, kStart).outcome == ReserveOutcome::kReserved);
  CHECK(ledger.Reserve("x", 10, kStart).outcome == ReserveOutcome::kNeedsGrant);
}

TEST(HostLedger, SettlesOnceAndNeverPastTheReservation) {
  HostLedger ledger("a");
  ledger.ApplyGrant("x", 100);
  const Reservation reservation = ledger.Reserve("x", 10, kStart);
  auto bill = ledger.Settle(reservation.id, BillOver(25), kStart);
  CHECK(bill.has_value());
  LONGS_EQUAL(10, bill->tokens);
  LONGS_EQUAL(15, ledger.overrun_tokens());
  CHECK(!ledger.Settle(reservation.id, BillOver(5), kStart).has_value());
  LONGS_EQUAL(1, ledger.unconfirmed_bills());
  LONGS_EQUAL(90, ledger.Available("x"));
}

TEST(HostLedger, IdleTokensAreGivenBackButNotReservedOnes) {
  HostLedger ledger("a");
  ledger.ApplyGrant("x", 100);
  ledger.Reserve("x", 30, kStart);
  ledger.GiveBackIdle(kStart, true);
  LONGS_EQUAL(70, ledger.Snapshot()["x"].counters.given_back);
  LONGS_EQUAL(0, ledger.Available("x"));
}

}  // namespace turmericwinch
