// One budget in a host's ledger. Internal to the library.

#ifndef SRC_LIBS_BUDGET_LEDGER_BUDGET_H_
#define SRC_LIBS_BUDGET_LEDGER_BUDGET_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "libs/budget/budget_constants.h"
#include "libs/budget/demand_rate.h"
#include "libs/budget/domain_shard.h"
#include "libs/budget/loan_totals.h"

namespace turmericwinch {

// A loan at its borrower. `billed` is what the confirmed bills come to, and
// `known` the sum of the totals that the lender is known to have.
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
  // `counters.settled` is what this host settled of its own row.
  HolderCounters counters;
  HolderCounters confirmed;
  // What the confirmed bills come to.
  std::int64_t billed = 0;
  std::int64_t reserved = 0;
  // Tokens of the own row that borrowers have, and what they billed of it.
  std::int64_t lent = 0;
  std::int64_t lent_billed = 0;
  // What of it borrowers billed that are not listed any more.
  std::int64_t unlisted = 0;
  // Tokens from lenders, by the lender's holder name.
  std::map<std::string, LedgerLoan> loans;
  std::int64_t wished = 0;
  std::int64_t smallest_wish = 0;
  DemandRate rate{kRateWindow};
  DemandRate lent_rate{kLentRateWindow};
  MonotonicTime last_use;
  std::optional<MonotonicTime> last_loan;

  // The platform learns of spend only with its bills.
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
