// A borrower's running totals of one budget borrowed from one lender.

#ifndef SRC_LIBS_BUDGET_LOAN_TOTALS_H_
#define SRC_LIBS_BUDGET_LOAN_TOTALS_H_

#include <cstdint>

namespace turmericwinch {

// Tokens received, billed in bill segments that the platform confirmed, and
// returned. All totals only grow, so a repeated or delayed total changes
// nothing.
struct LoanTotals {
  std::int64_t received = 0;
  std::int64_t billed = 0;
  std::int64_t returned = 0;

  // Tokens that the lender need not set aside any longer.
  std::int64_t Accounted() const { return billed + returned; }
  // Grows with each total, so equal sums of one loan mean equal totals.
  std::int64_t Sum() const { return received + Accounted(); }
  bool operator==(const LoanTotals&) const = default;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_LOAN_TOTALS_H_
