// What a borrower and a lender of one failure domain tell each other.

#ifndef SRC_LIBS_BUDGET_LOAN_MESSAGE_H_
#define SRC_LIBS_BUDGET_LOAN_MESSAGE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "libs/budget/loan_totals.h"

namespace turmericwinch {

// One budget in an ask. `needed` is 0 in a report; `smallest` is that of the
// smallest request that waits, both beyond what the borrower has of this
// lender. `rate` is the borrower's demand in tokens a second.
struct LoanRequestItem {
  std::string budget;
  std::int64_t needed = 0;
  std::int64_t smallest = 0;
  double rate = 0;
  LoanTotals totals;
};

// Asks for tokens and reports totals. `lender` is the holder that the totals
// are about, empty while the borrower does not know it; `reply_to` is IP:PORT.
struct LoanRequest {
  std::string borrower;
  std::string lender;
  std::string reply_to;
  std::vector<LoanRequestItem> items;
};

enum class LoanOutcome {
  // Nothing was asked for, or it was lent.
  kOk,
  // The lender draws on the budget; another answer follows.
  kDrawing,
  // The budget has too few tokens left anywhere.
  kShort,
  // The lender cannot draw now.
  kUnreachable,
  // The lender does not lend to this borrower.
  kRefused,
};

// One budget in an answer: what was lent in all, and the sum of the borrower's
// totals that the lender knows.
struct LoanGrant {
  std::string budget;
  std::int64_t lent = 0;
  std::int64_t known = 0;
  LoanOutcome outcome = LoanOutcome::kOk;
};

struct LoanResponse {
  std::string lender;
  std::string borrower;
  // Where the lender is reached, IP:PORT.
  std::string address;
  std::vector<LoanGrant> grants;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_LOAN_MESSAGE_H_
