// State of one budget in a host's ledger. Internal to the library.

#ifndef SRC_LIBS_BUDGET_LEDGER_BUDGET_H_
#define SRC_LIBS_BUDGET_LEDGER_BUDGET_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libs/budget/budget_constants.h"
#include "libs/budget/demand_rate.h"
#include "libs/budget/domain_shard.h"
#include "libs/budget/loan_totals.h"

namespace turmericwinch {

// A loan at its borrower. `billed` is the sum of the confirmed bills. `known`
// is the sum of the totals that the lender has confirmed.
struct LedgerLoan {
  std::int64_t received = 0;
  std::int64_t settled = 0;
  std::int64_t billed = 0;
  std::int64_t returned = 0;
  std::int64_t reserved = 0;
  std::int64_t known = 0;

  std::int64_t Available() const {
    return received - settled - returned - reserved;
  }
  LoanTotals Totals() const { return {received, billed, returned}; }
};

struct LedgerBudget {
  // Counters of the own row. `counters.settled` includes bills that are not
  // confirmed yet; `confirmed` are the counters that the platform has.
  HolderCounters counters;
  HolderCounters confirmed;
  // Sum of the confirmed bills on the own row.
  std::int64_t billed = 0;
  std::int64_t reserved = 0;
  // Tokens of the own row that borrowers have, and those that they billed.
  std::int64_t lent = 0;
  std::int64_t lent_billed = 0;
  // The part of `lent_billed` from borrowers that are no longer listed.
  std::int64_t unlisted = 0;
  // Loans by the lender's holder name.
  std::map<std::string, LedgerLoan> loans;
  // Tokens that waiting requests need, in all and for the smallest of them.
  std::int64_t requested = 0;
  std::int64_t smallest_request = 0;
  // Tokens of each of these requests.
  std::vector<std::int64_t> request_sizes;
  DemandRate rate{kRateWindow};
  DemandRate lent_rate{kLentRateWindow};
  MonotonicTime last_use;
  std::optional<MonotonicTime> last_loan;

  // Counters to report to the platform. Settled tokens are reported only once
  // their bills are confirmed.
  HolderCounters Reported() const {
    return {counters.granted, billed + lent_billed, counters.given_back,
            unlisted};
  }
  std::int64_t Available() const {
    return counters.Outstanding() - lent_billed - lent - reserved;
  }
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_LEDGER_BUDGET_H_
