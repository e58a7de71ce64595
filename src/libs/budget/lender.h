// Lends tokens of a host's own grants to other hosts of its failure domain.
// Free of I/O, clocks and threads.

#ifndef SRC_LIBS_BUDGET_LENDER_H_
#define SRC_LIBS_BUDGET_LENDER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "libs/budget/host_ledger.h"
#include "libs/budget/loan_message.h"

namespace turmericwinch {

// Inputs of a Lender. `holder` names this host's incarnation, and `address`
// returns where borrowers reach it. `hosts_in_domain` and `reserve_percent_of`
// determine the size of a loan; see GrantDemand.
struct LenderParts {
  std::string holder;
  std::function<std::string()> address;
  std::function<int()> hosts_in_domain;
  std::function<int(const std::string&)> reserve_percent_of;
};

// A loan response and the address to send it to.
struct OutgoingLoanResponse {
  std::string address;
  LoanResponse response;
};

// The total lent to a borrower only grows, as do the totals that it reports, so
// messages may be lost, repeated, delayed or reordered. A borrower gets loans
// only once the platform lists it for the bucket.
class Lender {
 public:
  explicit Lender(LenderParts parts);
  ~Lender();

  // Merges the reported totals and lends the requested tokens. Items that
  // cannot be served now stay pending.
  OutgoingLoanResponse HandleRequest(const LoanRequest& request,
                                     HostLedger& ledger,
                                     MonotonicTime now);
  // Refuses all requests for tokens from now on, for a shutdown. Reported
  // totals are still merged.
  void StopLending();
  // Answers pending requests that can be served now, and drops those older than
  // kPendingLoanRequestTime.
  std::vector<OutgoingLoanResponse> RetryPending(HostLedger& ledger,
                                                 MonotonicTime now);
  // Repeats loans whose receipt the borrowers have not reported yet.
  std::vector<OutgoingLoanResponse> UnacknowledgedLoans() const;
  // Denies pending requests for `budget` whose smallest request needs more than
  // the ledger has available: too few tokens are left.
  std::vector<OutgoingLoanResponse> DenyShort(const std::string& budget,
                                              const HostLedger& ledger);
  // Denies all pending requests of `bucket`: the platform does not answer.
  std::vector<OutgoingLoanResponse> DenyUnreachable(std::uint64_t bucket);
  // Grants needed for the pending requests beyond what the ledger has
  // available.
  std::vector<GrantRequest> PendingGrantRequests(HostLedger& ledger,
                                                 MonotonicTime now) const;

  // Buckets whose list of borrowers lacks one with a pending request.
  std::set<std::uint64_t> BucketsToList() const;
  // The borrowers that the list of `bucket` should contain.
  std::set<std::string> BorrowersToList(std::uint64_t bucket) const;
  // Records the list of borrowers that the platform has.
  void ConfirmBorrowers(std::uint64_t bucket,
                        const std::set<std::string>& list);

  // Whether tokens lent to the borrower are neither billed nor returned.
  bool HasLoans(const std::string& borrower) const;
  // Settles the loans of a borrower that has ended. `settled` is the spend that
  // its bills prove, by budget; the rest of its loans counts as returned. The
  // borrower gets no further loans.
  void EndBorrower(const std::string& borrower,
                   const std::map<std::string, std::int64_t>& settled,
                   HostLedger& ledger);
  bool HasEnded(const std::string& borrower) const;

  // Tokens lent and neither billed nor returned, by budget and borrower.
  std::map<std::string, std::map<std::string, std::int64_t>> OutstandingLoans()
      const;

 private:
  class Private;
  std::unique_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_LENDER_H_
