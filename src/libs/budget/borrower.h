// Borrows tokens of a bucket from the host of the failure domain that is
// responsible for the bucket. Free of I/O, clocks and threads.

#ifndef SRC_LIBS_BUDGET_BORROWER_H_
#define SRC_LIBS_BUDGET_BORROWER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "libs/budget/bucket_sync.h"
#include "libs/budget/host_ledger.h"
#include "libs/budget/loan_message.h"

namespace turmericwinch {

// A loan request and the address to send it to.
struct OutgoingLoanRequest {
  std::string address;
  LoanRequest request;
};

// Effects of a loan response: budgets with newly lent tokens, grant requests
// that fail because the budget has too few tokens left, and grant requests for
// which this host should draw from the store itself.
struct LoanResult {
  std::vector<std::string> lent;
  GrantRequests short_of_tokens;
  GrantRequests direct;
};

class Borrower {
 public:
  // `holder` names this host's incarnation, and `address` returns where lenders
  // reach it.
  Borrower(std::string holder, std::function<std::string()> address);
  ~Borrower();

  // Whether the lender at `address` failed to answer within the last
  // kLenderBackoff.
  bool IsUnresponsive(const std::string& address, MonotonicTime now) const;
  // Adds a grant request to be sent to the lender at `address`.
  void AddRequest(const std::string& address,
                  const GrantRequest& request,
                  MonotonicTime now);
  // Loan requests to send now, for the first time or as a retry.
  std::vector<OutgoingLoanRequest> DueRequests(const HostLedger& ledger,
                                               MonotonicTime now);
  // Reports of totals that lenders have not confirmed yet.
  std::vector<OutgoingLoanRequest> PendingReports(
      const HostLedger& ledger) const;
  // Adds the lent tokens to the ledger, and ends the requests that the response
  // answers.
  LoanResult HandleResponse(const LoanResponse& response, HostLedger& ledger);
  // Removes and returns the requests that got no answer in time, and marks
  // their lenders as unresponsive.
  GrantRequests TakeExpired(MonotonicTime now);
  // Whether a request waits for its response.
  bool HasPendingRequests() const;
  // Address in the lender's last response; empty if there was none.
  std::string AddressOf(const std::string& lender) const;
  // Holder name in the last response from `address`; empty if there was none.
  std::string HolderAt(const std::string& address) const;

 private:
  class Private;
  std::unique_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_BORROWER_H_
