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

// What the lender works with. `hosts_in_domain` and `reserve_percent_of` size
// a loan; see GrantDemand. `address` is where borrowers reach this host.
struct LenderParts {
  std::string holder;
  std::function<std::string()> address;
  std::function<int()> hosts_in_domain;
  std::function<int(const std::string&)> reserve_percent_of;
};

// An answer and where to send it.
struct OutgoingLoanResponse {
  std::string address;
  LoanResponse response;
};

// What is lent to a borrower only grows, as do the totals that it reports, so
// messages may be lost, repeated, late or in any order. Nothing is lent to a
// borrower that the platform does not list for the bucket.
class Lender {
 public:
  explicit Lender(LenderParts parts);
  ~Lender();

  // Takes an ask. Those of its wishes that cannot be met now are kept.
  OutgoingLoanResponse HandleRequest(const LoanRequest& ask,
                                     HostLedger& ledger,
                                     MonotonicTime now);
  // Refuses all asks from now on, for a shutdown; totals are still taken.
  void StopLending();
  // Answers kept asks that can be met now, and forgets those above
  // kPendingLoanRequestTime.
  std::vector<OutgoingLoanResponse> RetryPending(HostLedger& ledger,
                                                 MonotonicTime now);
  // Tells borrowers again what they were lent and have not said to have
  // received.
  std::vector<OutgoingLoanResponse> UnacknowledgedLoans() const;
  // Refuses kept asks for `budget` whose smallest request is above what the
  // ledger has: too few tokens are left.
  std::vector<OutgoingLoanResponse> DenyShort(const std::string& budget,
                                              const HostLedger& ledger);
  // Refuses all kept asks of `bucket`: the platform does not answer.
  std::vector<OutgoingLoanResponse> DenyUnreachable(std::uint64_t bucket);
  // What the kept asks need beyond what the ledger has.
  std::vector<GrantRequest> PendingGrantRequests(HostLedger& ledger,
                                                 MonotonicTime now) const;

  // Buckets whose list of borrowers lacks one that asked.
  std::set<std::uint64_t> BucketsToList() const;
  // The borrowers that the list of `bucket` should have.
  std::set<std::string> BorrowersToList(std::uint64_t bucket) const;
  // Notes the list that the platform has.
  void ConfirmBorrowers(std::uint64_t bucket,
                        const std::set<std::string>& list);

  // Whether something that was lent to the borrower is not accounted for.
  bool HasLoans(const std::string& borrower) const;
  // Ends a borrower that has ended: `settled` is by budget what its bills
  // prove; the rest of its loans comes back. It gets no loan any more.
  void EndBorrower(const std::string& borrower,
                   const std::map<std::string, std::int64_t>& settled,
                   HostLedger& ledger);
  bool HasEnded(const std::string& borrower) const;

  // By budget and borrower, what is lent and not accounted for.
  std::map<std::string, std::map<std::string, std::int64_t>> OutstandingLoans()
      const;

 private:
  class Private;
  std::unique_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_LENDER_H_
