// Searches for a host that lends the tokens for which a request waits. Free of
// I/O, clocks and threads.

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
#include "libs/budget/lender_endpoint.h"
#include "libs/budget/loan_message.h"

namespace turmericwinch {

// Time after which a host that did not answer counts as unresponsive. Hosts of
// one region are less than 2 ms apart, and a busy host answers within a few
// iterations of its event loop.
inline constexpr std::chrono::milliseconds kLoanResponseTimeout{25};
// Time for which a host that draws the tokens from the account is waited for:
// a read and a write of the account.
inline constexpr std::chrono::milliseconds kLoanDrawTimeout{80};
// Time for which an unresponsive host gets no further requests.
inline constexpr std::chrono::milliseconds kUnresponsiveLenderPause{1'000};
// Maximum number of hosts that one search asks.
inline constexpr std::size_t kMaxLendersAsked = 6;

// Hosts other than `holder` that hold tokens of `budget` according to the
// account, in descending order of their tokens.
std::vector<LenderEndpoint> FindLenders(const FleetAccount& account,
                                        const std::string& budget,
                                        const std::string& holder);

// Hosts that a search asks.
enum class LoanScope {
  // Those that keep the stock of this host's failure domain.
  kDomain,
  // Those of the whole fleet that hold tokens.
  kFleet
};

// A search that found no lender with enough tokens, and the reason given to
// callers.
struct FailedLoanSearch {
  GrantRequest request;
  LoanScope scope = LoanScope::kFleet;
  Reason reason;
};

// Asks one host after another. While all hosts lose contact to the account, or
// while a budget is nearly used up, tokens are held by the hosts that received
// requests before, and other hosts that receive requests now lack them.
class LoanSearch {
 public:
  // `holder` and `address` belong to this host.
  LoanSearch(std::string holder, std::string address);

  // Starts a search, or extends the one in progress for the budget. `request`
  // counts tokens in addition to this host's own row. `reason` is reported if
  // the search fails. A search in progress keeps its scope and lenders.
  void Start(const GrantRequest& request,
             LoanScope scope,
             std::vector<LenderEndpoint> lenders,
             const Reason& reason,
             MonotonicTime now);
  bool IsSearching(const std::string& budget) const;
  // Requests to send now. A host that did not answer in time is skipped.
  std::vector<OutgoingLoanRequest> DueRequests(const HostLedger& ledger,
                                               MonotonicTime now);
  // Adds the lent tokens to the ledger. Returns the budgets with newly lent
  // tokens.
  std::vector<std::string> HandleResponse(const LoanResponse& response,
                                          HostLedger& ledger,
                                          MonotonicTime now);
  // Removes and returns the searches that have no host left to ask.
  std::vector<FailedLoanSearch> TakeFailed();
  // The latest time at which DueRequests() has to be called; nothing while no
  // search is in progress.
  std::optional<MonotonicTime> NextDueTime() const;

 private:
  struct Search {
    GrantRequest request;
    LoanScope scope = LoanScope::kFleet;
    Reason reason;
    std::deque<LenderEndpoint> lenders;
    std::optional<LenderEndpoint> asked_lender;
    // Whether the asked lender draws the tokens and answers again.
    bool is_drawing = false;
    MonotonicTime deadline;
  };

  bool IsUnresponsive(const LenderEndpoint& lender, MonotonicTime now) const;
  std::optional<OutgoingLoanRequest> NextRequest(Search& search,
                                                 const HostLedger& ledger,
                                                 MonotonicTime now);

  std::string holder_;
  std::string address_;
  std::map<std::string, Search> searches_;
  // Keyed by address.
  std::map<std::string, MonotonicTime> unresponsive_until_;
  std::vector<FailedLoanSearch> failed_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_LOAN_SEARCH_H_
