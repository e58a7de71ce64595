// Lends this host's open tokens to other hosts of the fleet. Free of I/O,
// clocks and threads.

#ifndef SRC_LIBS_BUDGET_FLEET_LENDER_H_
#define SRC_LIBS_BUDGET_FLEET_LENDER_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "libs/budget/host_ledger.h"
#include "libs/budget/loan_message.h"

namespace turmericwinch {

// Lent tokens count as spent by this host: they were opened in its row of the
// account, so the process that closes the row charges them. When a borrower
// ends, all tokens lent to it stay charged, so that none is spent twice. The
// total lent to a borrower only grows, so messages may be lost, repeated,
// delayed or reordered.
class FleetLender {
 public:
  // `holder` names this host's incarnation. `address` (IP:PORT) is where
  // borrowers reach it.
  FleetLender(std::string holder, std::string address);

  // Lends `needed` if that many tokens are available, otherwise `smallest` if
  // that many are, otherwise nothing. If the borrower has not received the last
  // loan, the response repeats that loan and lends no more.
  LoanResponse HandleRequest(const LoanRequest& request,
                             HostLedger& ledger,
                             MonotonicTime now);

 private:
  // Total tokens of one budget lent to and returned by one borrower.
  struct Loan {
    std::int64_t lent = 0;
    std::int64_t returned = 0;
  };

  LoanGrant HandleItem(const LoanRequestItem& item,
                       Loan& loan,
                       HostLedger& ledger,
                       MonotonicTime now) const;

  std::string holder_;
  std::string address_;
  // Keyed by borrower and budget.
  std::map<std::pair<std::string, std::string>, Loan> loans_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_FLEET_LENDER_H_
