// Borrows tokens from the hosts that answer for their buckets. Free of I/O,
// clocks and threads.

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

// An ask and where to send it.
struct OutgoingLoanRequest {
  std::string address;
  LoanRequest request;
};

// What an answer came to: budgets with new tokens, budgets of which too few
// are left anywhere, and wishes that this host should draw for by itself.
struct LoanResult {
  std::vector<std::string> lent;
  GrantRequests short_of_tokens;
  GrantRequests direct;
};

class Borrower {
 public:
  // `address` is where lenders reach this host.
  Borrower(std::string holder, std::function<std::string()> address);
  ~Borrower();

  // Whether the lender at `address` failed to answer lately.
  bool IsUnresponsive(const std::string& address, MonotonicTime now) const;
  // Notes a wish to be asked for at `address`.
  void AddRequest(const std::string& address,
                  const GrantRequest& wish,
                  MonotonicTime now);
  // Asks that are due, first or again.
  std::vector<OutgoingLoanRequest> DueRequests(const HostLedger& ledger,
                                               MonotonicTime now);
  // Reports of totals that lenders do not account for yet.
  std::vector<OutgoingLoanRequest> PendingReports(
      const HostLedger& ledger) const;
  LoanResult HandleResponse(const LoanResponse& answer, HostLedger& ledger);
  // Wishes that got no answer in time; their lenders are silent from now.
  GrantRequests TakeExpired(MonotonicTime now);
  // Whether an ask waits for its answer.
  bool HasPendingRequests() const;
  // Where the lender was last heard from; empty if never.
  std::string AddressOf(const std::string& lender) const;
  // Holder name last heard from `address`, if any.
  std::string HolderAt(const std::string& address) const;

 private:
  class Private;
  std::unique_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_BORROWER_H_
