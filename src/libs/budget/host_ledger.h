// Keeps track of the tokens granted to a host: reservations, bills and the
// counters that are reported to the platform. Uses no clocks, threads or I/O.

#ifndef SRC_LIBS_BUDGET_HOST_LEDGER_H_
#define SRC_LIBS_BUDGET_HOST_LEDGER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libs/budget/bill.h"
#include "libs/budget/demand_rate.h"
#include "libs/budget/domain_shard.h"
#include "libs/budget/loan_totals.h"

namespace turmericwinch {

enum class ReserveOutcome {
  kReserved,
  // The host has too few tokens and must get a grant or a loan first.
  kNeedsGrant,
  // Too many bills are not confirmed by the platform yet.
  kBillsFull,
  // The holder was closed; only a new incarnation of the host may spend.
  kFenced,
};

// Result of HostLedger::Reserve(); `id` is set if the outcome is kReserved.
struct Reservation {
  ReserveOutcome outcome = ReserveOutcome::kNeedsGrant;
  std::uint64_t id = 0;
};

// A request for tokens of one budget, beyond what the host's own row has.
struct GrantRequest {
  std::string budget;
  // Tokens for all waiting requests.
  std::int64_t needed = 0;
  // Tokens for the smallest of them.
  std::int64_t smallest = 0;
  // Demand of this host, in tokens per second over kRateWindow.
  double rate = 0;
  // Demand for loans and own spend, in tokens per second over kLentRateWindow.
  double lent_rate = 0;
  // Tokens of each waiting request, including what the host's own row has.
  std::vector<std::int64_t> sizes = {};
};

// State of a loan for dumps. `settled` includes spend without a confirmed bill.
struct LoanSnapshot {
  LoanTotals totals;
  std::int64_t settled = 0;
  std::int64_t reserved = 0;
};

// State of one budget for dumps. `counters` and `reserved` are of the own row.
// `lent` is what borrowers have of the own row, `lent_billed` what they billed.
// `loans` are by lender.
struct LedgerSnapshot {
  HolderCounters counters;
  std::int64_t reserved = 0;
  std::int64_t lent = 0;
  std::int64_t lent_billed = 0;
  std::map<std::string, LoanSnapshot> loans;
  double rate = 0;
};

// Tokens come from the host's own row and from lenders of its failure domain.
// A reservation uses one of these sources, and its bill is charged to the
// holder whose row the tokens come from. For each source, settled + reserved +
// lent + given back never exceed the granted tokens, whatever the order of the
// calls.
class HostLedger {
 public:
  // `holder` names this incarnation of the host in the platform's objects.
  explicit HostLedger(std::string holder);
  ~HostLedger();

  // Reserves `tokens` of `budget`, an upper bound of a request's cost.
  Reservation Reserve(const std::string& budget,
                      std::int64_t tokens,
                      MonotonicTime now);

  // Ends a reservation with the tokens used. `bill.tokens` is limited to the
  // reservation; the excess is counted in overrun_tokens(). Returns nothing if
  // the reservation is not open, for example when it is settled twice.
  std::optional<Bill> Settle(std::uint64_t reservation,
                             Bill bill,
                             MonotonicTime now);

  // Ends a reservation of a request that did not run.
  bool Release(std::uint64_t reservation);

  // Records that a request waits for `tokens` of `budget`.
  void AddGrantRequest(const std::string& budget, std::int64_t tokens);
  // Returns grant requests for budgets of `bucket` whose stock for borrowers
  // runs low.
  std::vector<GrantRequest> StockRequests(std::uint64_t bucket,
                                          MonotonicTime now);
  // Removes and returns the grant requests since the last call, one per budget.
  std::vector<GrantRequest> TakeGrantRequests();

  // Raises the granted tokens to the total that the platform has for this host.
  // The counter only grows.
  void ApplyGrant(const std::string& budget, std::int64_t granted_total);

  // Stops all reservations permanently, as the holder has ended or was closed.
  void Fence();
  bool fenced() const;
  // Removes the budgets of `bucket` after the holder was closed there, and
  // fences the ledger, since the holder's counters must not start again from 0.
  void ForgetBucket(std::uint64_t bucket);

  // Gives back the available tokens of budgets without a request for
  // kGrantIdleTime, or of all budgets if `all`, as at shutdown: borrowed tokens
  // to their lender and those of the own row to the platform. Tokens of the own
  // row are kept while a loan was made within kStockIdleTime, unless `all`.
  void GiveBackIdle(MonotonicTime now, bool all);
  // Gives back the tokens that the own row has available above `max_available`.
  void GiveBackAbove(const std::string& budget, std::int64_t max_available);

  // Counters of the budgets of `bucket` that the platform does not have yet.
  std::map<std::string, HolderCounters> UnconfirmedCounters(
      std::uint64_t bucket) const;
  // Records that the platform has `counters`.
  void ConfirmCounters(const std::string& budget,
                       const HolderCounters& counters);
  // Budgets of `bucket` for which the platform confirmed a grant.
  std::vector<std::string> ConfirmedBudgets(std::uint64_t bucket) const;
  // Buckets for which the platform confirmed a grant.
  std::vector<std::uint64_t> HeldBuckets() const;
  // Counters of one budget as reported to the platform. Spend is included once
  // its bills are confirmed, so that nothing is charged without a bill.
  HolderCounters Counters(const std::string& budget) const;
  // Buckets with unconfirmed counters.
  std::vector<std::uint64_t> DirtyBuckets() const;

  // The oldest unconfirmed bills, at most `max_count`.
  std::vector<Bill> UnconfirmedBills(std::size_t max_count) const;
  // Records that bills up to `sequence` are stored, and removes them.
  void ConfirmBills(std::uint64_t sequence);

  // Sets tokens of the own row aside for a borrower. False if fewer are
  // available or the ledger is fenced.
  bool Lend(const std::string& budget, std::int64_t tokens, MonotonicTime now);
  // Records a borrower's request in the demand, whether or not it got tokens.
  void RecordLoanDemand(const std::string& budget,
                        std::int64_t tokens,
                        MonotonicTime now);
  // Reduces the lent tokens by what borrowers billed and returned since the
  // last call.
  void ReduceLent(const std::string& budget,
                  std::int64_t billed,
                  std::int64_t returned);
  // Records that a borrower that billed `billed_total` is no longer listed.
  void RecordUnlisted(const std::string& budget, std::int64_t billed_total);

  // Raises the tokens received from `lender` to `lent_total`. False if the
  // total is not higher than before or CloseLender() was called.
  bool ApplyLoan(const std::string& lender,
                 const std::string& budget,
                 std::int64_t lent_total);
  // Records the sum of the totals that the lender has confirmed.
  void ConfirmLoan(const std::string& lender,
                   const std::string& budget,
                   std::int64_t known);
  // Loan totals that `lender` has not confirmed yet, by budget.
  std::map<std::string, LoanTotals> UnreportedLoans(
      const std::string& lender) const;
  LoanTotals LoanOf(const std::string& lender, const std::string& budget) const;
  // Lenders that this host has loans from.
  std::vector<std::string> Lenders() const;
  // Returns the unreserved tokens of a lender to it.
  void ReturnLoans(const std::string& lender);
  // Returns the unreserved tokens of a lender and permanently stops using
  // tokens from it.
  void CloseLender(const std::string& lender);
  // Whether CloseLender() was called and all spend of the lender's tokens is in
  // confirmed bills.
  bool IsClosedWith(const std::string& lender) const;

  // Removes the loans of a lender for which IsClosedWith() is true. The ledger
  // still uses no tokens from it.
  void ForgetLoans(const std::string& lender);

  // Whether one source has `tokens` now, so that Reserve() finds them.
  bool CanReserve(const std::string& budget, std::int64_t tokens) const;
  // Tokens of the own row and of all lenders that can be reserved now.
  std::int64_t ReservableTokens(const std::string& budget) const;
  // Tokens of the own row, or from a lender, that can be reserved now.
  std::int64_t Available(const std::string& budget) const;
  std::int64_t AvailableFrom(const std::string& lender,
                             const std::string& budget) const;
  // Demand on the own row of a lender, in tokens per second over
  // kLentRateWindow.
  double LentRate(const std::string& budget, MonotonicTime now);
  std::map<std::string, LedgerSnapshot> Snapshot() const;
  std::size_t unconfirmed_bills() const;
  std::size_t open_reservations() const;
  std::int64_t overrun_tokens() const;
  const std::string& holder() const;

 private:
  class Private;
  std::unique_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_HOST_LEDGER_H_
