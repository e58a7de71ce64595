// Lends open tokens of a host to other hosts of its fleet. Free of I/O, clocks
// and threads.

#ifndef SRC_LIBS_BUDGET_FLEET_LENDER_H_
#define SRC_LIBS_BUDGET_FLEET_LENDER_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "libs/budget/host_ledger.h"
#include "libs/budget/loan_message.h"

namespace turmericwinch {

// Tokens that are lent count as spent by this host: they were opened in its row
// of the account, so whoever closes the row charges them. A borrower that ends
// costs what it had borrowed, and nothing is spent twice. What is lent to a
// borrower only grows, so messages may be lost, repeated, late or in any order.
class FleetLender {
 public:
  // `holder` is this host's, `address` where borrowers reach it, IP:PORT.
  FleetLender(std::string holder, std::string address);

  // Lends what is asked for if it is open and free, else what the smallest
  // waiting request needs, else nothing. An ask that does not know of the last
  // loan yet gets no more than that.
  LoanResponse HandleRequest(const LoanRequest& ask,
                             HostLedger& ledger,
                             MonotonicTime now);

 private:
  // One budget at one borrower.
  struct Loan {
    std::int64_t lent = 0;
    std::int64_t returned = 0;
  };

  LoanGrant Answer(const LoanRequestItem& wish,
                   Loan& loan,
                   HostLedger& ledger,
                   MonotonicTime now) const;

  std::string holder_;
  std::string address_;
  // By borrower and budget.
  std::map<std::pair<std::string, std::string>, Loan> loans_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_FLEET_LENDER_H_
