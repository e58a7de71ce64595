// A host's own account of the tokens granted to it: reservations, bills, and
// the counters that go to the platform. Free of clocks, threads and sockets.

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
  // More tokens must be granted first.
  kNeedsGrant,
  // Too many bills wait for the platform.
  kBillsFull,
  // The holder was closed; only a new incarnation of the host may spend.
  kFenced,
};

// Answer to a request for a reservation; `id` is set if it was reserved.
struct Reservation {
  ReserveOutcome outcome = ReserveOutcome::kNeedsGrant;
  std::uint64_t id = 0;
};

// A budget for which the host wants more tokens, beyond what its own row has.
struct GrantRequest {
  std::string budget;
  // For all requests that wait.
  std::int64_t needed = 0;
  // For the smallest of them.
  std::int64_t smallest = 0;
  double rate = 0;
  // Demand of borrowers, over kLentRateWindow.
  double lent_rate = 0;
};

// A loan for dumps: the totals, and what was settled, with or without a
// confirmed bill, and is reserved.
struct LoanSnapshot {
  LoanTotals totals;
  std::int64_t settled = 0;
  std::int64_t reserved = 0;
};

// Figures of one budget for dumps. `counters` and `reserved` are of the own
// row; `lent` is what borrowers have of it, `lent_billed` what they billed.
struct LedgerSnapshot {
  HolderCounters counters;
  std::int64_t reserved = 0;
  std::int64_t lent = 0;
  std::int64_t lent_billed = 0;
  std::map<std::string, LoanSnapshot> loans;
  double rate = 0;
};

// Tokens come from the host's own row and from lenders of its failure domain.
// A reservation takes from one of these sources, and its bill is charged to
// the holder whose row stands behind it. Of each source, settled + reserved +
// lent + given back never exceed what was granted, whatever order the calls
// come in.
class HostLedger {
 public:
  // `holder` names this incarnation of the host in the platform's objects.
  explicit HostLedger(std::string holder);
  ~HostLedger();

  // Reserves `tokens` of `budget`, an upper bound of a request's cost.
  Reservation Reserve(const std::string& budget,
                      std::int64_t tokens,
                      MonotonicTime now);

  // Ends a reservation with what was used. `bill.tokens` is held to the
  // reservation; what was above it is counted in overrun_tokens(). Nothing if
  // the reservation is not open, as when it is settled twice.
  std::optional<Bill> Settle(std::uint64_t reservation,
                             Bill bill,
                             MonotonicTime now);

  // Ends a reservation of a request that did not run.
  bool Release(std::uint64_t reservation);

  // Notes that a request waits for `tokens` of `budget`.
  void AddGrantRequest(const std::string& budget, std::int64_t tokens);
  // Wishes for budgets of `bucket` whose stock for borrowers runs low.
  std::vector<GrantRequest> StockRequests(std::uint64_t bucket,
                                          MonotonicTime now);
  // Wishes since the last call, by budget.
  std::vector<GrantRequest> TakeGrantRequests();

  // Takes over what the platform holds for this host. Counters only grow.
  void ApplyGrant(const std::string& budget, std::int64_t granted_total);

  // Stops all reservations for good: the holder was closed.
  void Fence();
  bool fenced() const;
  // Forgets the budgets of `bucket` after the holder closed itself there, and
  // fences: its counters must not start again from 0.
  void ForgetBucket(std::uint64_t bucket);

  // Offers tokens of budgets without a request since kGrantIdleTime, and
  // without a loan since kStockIdleTime; at shutdown of all. Those of the own
  // row go back to the platform, borrowed ones to their lender.
  void GiveBackIdle(MonotonicTime now, bool all);
  // Gives back what the own row has available above `most`.
  void GiveBackAbove(const std::string& budget, std::int64_t most);

  // Counters of the budgets of `bucket` that the platform does not have yet.
  std::map<std::string, HolderCounters> UnconfirmedCounters(
      std::uint64_t bucket) const;
  // Notes that the platform has `counters`.
  void ConfirmCounters(const std::string& budget,
                       const HolderCounters& counters);
  // Budgets of `bucket` of which the platform confirmed a grant.
  std::vector<std::string> ConfirmedBudgets(std::uint64_t bucket) const;
  // Buckets of which the platform confirmed a grant.
  std::vector<std::uint64_t> HeldBuckets() const;
  // The counters of one budget for the platform: spend counts once its bills
  // are confirmed, so that nothing is charged without a bill.
  HolderCounters Counters(const std::string& budget) const;
  // Buckets with unconfirmed counters.
  std::vector<std::uint64_t> DirtyBuckets() const;

  // Oldest bills that are not confirmed, at most `most`.
  std::vector<Bill> UnconfirmedBills(std::size_t most) const;
  // Forgets bills up to `sequence`.
  void ConfirmBills(std::uint64_t sequence);

  // Sets tokens of the own row aside for a borrower. False if it has fewer.
  bool Lend(const std::string& budget, std::int64_t tokens, MonotonicTime now);
  // Notes that a borrower asked, whether or not it got tokens.
  void RecordLoanDemand(const std::string& budget,
                        std::int64_t tokens,
                        MonotonicTime now);
  // Takes over that borrowers billed and returned this much more of what was
  // set aside.
  void ReduceLent(const std::string& budget,
                  std::int64_t billed,
                  std::int64_t returned);
  // Notes that a borrower which billed this much goes off the list.
  void RecordUnlisted(const std::string& budget, std::int64_t billed_total);

  // Takes over what `lender` lent in all. False if that is nothing new or
  // CloseLender() was called.
  bool ApplyLoan(const std::string& lender,
                 const std::string& budget,
                 std::int64_t lent_total);
  // Notes the sum of the totals that the lender knows.
  void ConfirmLoan(const std::string& lender,
                   const std::string& budget,
                   std::int64_t known);
  // What `lender` does not know yet, by budget, and whether there is any.
  std::map<std::string, LoanTotals> UnreportedLoans(
      const std::string& lender) const;
  LoanTotals LoanOf(const std::string& lender, const std::string& budget) const;
  // Lenders whose tokens this host had.
  std::vector<std::string> Lenders() const;
  // Returns what is not reserved of a lender's tokens.
  void ReturnLoans(const std::string& lender);
  // Returns what is not reserved of a lender's tokens, and takes none of them
  // any more, ever.
  void CloseLender(const std::string& lender);
  // Whether the lender's tokens are closed, and all that was spent of them is
  // proved by confirmed bills.
  bool IsClosedWith(const std::string& lender) const;

  // Forgets what a lender lent that IsClosedWith(), and still takes none of its
  // tokens.
  void ForgetLoans(const std::string& lender);

  // Tokens of the own row, or of a lender, that can be reserved now.
  std::int64_t Available(const std::string& budget) const;
  std::int64_t AvailableFrom(const std::string& lender,
                             const std::string& budget) const;
  // Demand of the borrowers of a budget, averaged over kLentRateWindow.
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
