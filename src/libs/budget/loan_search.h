// Looks for a host that lends the tokens a request waits for. Free of I/O,
// clocks and threads.

#ifndef SRC_LIBS_BUDGET_LOAN_SEARCH_H_
#define SRC_LIBS_BUDGET_LOAN_SEARCH_H_

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libs/base/reason.h"
#include "libs/budget/borrower.h"
#include "libs/budget/fleet_account.h"
#include "libs/budget/host_ledger.h"
#include "libs/budget/loan_message.h"

namespace turmericwinch {

// Time after which a host that was asked counts as silent: hosts of one region
// are under 2 ms apart, and a busy one answers within some turns.
inline constexpr std::chrono::milliseconds kLoanResponseTimeout{25};
// Time for which a silent host is not asked again.
inline constexpr std::chrono::milliseconds kUnresponsiveLenderPause{1'000};
// Hosts that are asked for one request at most.
inline constexpr std::size_t kMaxLendersAsked = 6;

// A host that may lend.
struct LenderEndpoint {
  std::string holder;
  std::string address;
};

// Hosts but `holder` that hold tokens of `budget` by the account, those with
// the most first.
std::vector<LenderEndpoint> FindLenders(const FleetAccount& account,
                                        const std::string& budget,
                                        const std::string& holder);

// A budget of which nobody lends enough, and what callers are told.
struct FailedLoanSearch {
  std::string budget;
  std::int64_t smallest = 0;
  Reason reason;
};

// Asks one host after the other. Answers the load of hosts that are cut off
// from the account together, and of budgets near their end: tokens are held
// where requests came before, and are missing where they come now.
class LoanSearch {
 public:
  // `holder` and `address` are this host's own.
  LoanSearch(std::string holder, std::string address);

  // Starts a search, unless one goes on for the budget; `wish` counts beyond
  // what the own row has. `reason` is told if it fails.
  void Start(const GrantRequest& wish,
             std::vector<LenderEndpoint> lenders,
             const Reason& reason,
             MonotonicTime now);
  bool IsSearching(const std::string& budget) const;
  // Asks to send now. A host that did not answer in time is passed over.
  std::vector<OutgoingLoanRequest> DueRequests(const HostLedger& ledger,
                                               MonotonicTime now);
  // Takes an answer into the ledger. The budgets of which more was lent.
  std::vector<std::string> HandleResponse(const LoanResponse& answer,
                                          HostLedger& ledger,
                                          MonotonicTime now);
  // Searches that have no host left to ask.
  std::vector<FailedLoanSearch> TakeFailed();
  // When DueRequests() has to be called at the latest; nothing while no search
  // is open.
  std::optional<MonotonicTime> NextDueTime() const;

 private:
  struct Search {
    GrantRequest wish;
    Reason reason;
    std::deque<LenderEndpoint> lenders;
    std::optional<LenderEndpoint> asked;
    MonotonicTime until;
  };

  bool IsUnresponsive(const LenderEndpoint& lender, MonotonicTime now) const;
  std::optional<OutgoingLoanRequest> NextRequest(Search& search,
                                                 const HostLedger& ledger,
                                                 MonotonicTime now);

  std::string holder_;
  std::string address_;
  std::map<std::string, Search> searches_;
  // By address.
  std::map<std::string, MonotonicTime> silent_until_;
  std::vector<FailedLoanSearch> failed_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_LOAN_SEARCH_H_
