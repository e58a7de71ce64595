// What a borrower has of a lender's tokens of one budget.

#ifndef SRC_LIBS_BUDGET_LOAN_TOTALS_H_
#define SRC_LIBS_BUDGET_LOAN_TOTALS_H_

#include <cstdint>

namespace turmericwinch {

// Tokens received, billed in segments that the platform confirmed, and
// returned. All only grow, so a total that is repeated or comes late changes
// nothing.
struct LoanTotals {
  std::int64_t received = 0;
  std::int64_t billed = 0;
  std::int64_t returned = 0;

  // What the lender need not keep aside any more.
  std::int64_t Accounted() const { return billed + returned; }
  // Grows with each of them, so equal sums of one loan mean equal totals.
  std::int64_t Sum() const { return received + Accounted(); }
  bool operator==(const LoanTotals&) const = default;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_LOAN_TOTALS_H_
