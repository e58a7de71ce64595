// Messages between a borrower and a lender: loan requests, reports of totals
// and responses.

#ifndef SRC_LIBS_BUDGET_LOAN_MESSAGE_H_
#define SRC_LIBS_BUDGET_LOAN_MESSAGE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "libs/budget/loan_totals.h"

namespace turmericwinch {

// One budget in a loan request. `needed` is the tokens for all waiting requests
// and `smallest` those for the smallest of them, both in addition to the tokens
// that the borrower has from this lender; `needed` is 0 in a report of totals.
// `rate` is the borrower's demand in tokens per second.
struct LoanRequestItem {
  std::string budget;
  std::int64_t needed = 0;
  std::int64_t smallest = 0;
  double rate = 0;
  LoanTotals totals;
};

// Requests tokens and reports the borrower's totals. `lender` is the holder
// that the totals refer to, empty while the borrower does not know its name.
// `reply_to` is the borrower's address, IP:PORT.
struct LoanRequest {
  std::string borrower;
  std::string lender;
  std::string reply_to;
  std::vector<LoanRequestItem> items;
};

enum class LoanOutcome {
  // The tokens were lent, or none were requested.
  kOk,
  // The lender is drawing tokens of the budget; another response follows.
  kDrawing,
  // The lender (or, for hosts of one failure domain, the whole budget) has too
  // few tokens left.
  kShort,
  // The lender cannot reach the store to draw tokens.
  kUnreachable,
  // The lender does not lend to this borrower.
  kRefused,
};

// One budget in a loan response. `lent` is the total ever lent to the borrower,
// and `known` the sum of the borrower's totals that the lender has received.
struct LoanGrant {
  std::string budget;
  std::int64_t lent = 0;
  std::int64_t known = 0;
  LoanOutcome outcome = LoanOutcome::kOk;
};

struct LoanResponse {
  std::string lender;
  std::string borrower;
  // Address of the lender, IP:PORT.
  std::string address;
  std::vector<LoanGrant> grants;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_LOAN_MESSAGE_H_
