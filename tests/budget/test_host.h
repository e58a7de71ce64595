// A host of the fleet in tests: its ledger and the state machines that the
// daemon runs. Calls go to a FakePlatform, one at a time.

#ifndef TESTS_BUDGET_TEST_HOST_H_
#define TESTS_BUDGET_TEST_HOST_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "budget/fake_platform.h"
#include "libs/budget/bill_flush.h"
#include "libs/budget/borrower.h"
#include "libs/budget/bucket_sync.h"
#include "libs/budget/holder_closing.h"
#include "libs/budget/host_ledger.h"
#include "libs/budget/lender.h"

namespace turmericwinch {

// The configured budgets by name, shared by all hosts of a test.
using TestBudgets = std::map<std::string, BudgetSetting>;

class TestHost {
 public:
  TestHost(FakePlatform& platform,
           const TestBudgets& budgets,
           std::string domain,
           std::string holder);

  // Starts a sync round for the bucket of `budget`. Step makes the round's next
  // call or handles the answer to the last one; it returns false once the round
  // is over.
  void StartRound(const std::string& budget,
                  std::int64_t tokens,
                  bool closing = false,
                  bool refresh = false);
  bool Step();
  bool busy() const { return sync_ != nullptr; }

  // Runs a whole sync round that requests `tokens`.
  SyncResult Draw(const std::string& budget, std::int64_t tokens);
  // Reserves `tokens`, after a draw if too few are available, and settles them.
  bool Spend(const std::string& budget, std::int64_t tokens);
  bool Settle(std::uint64_t reservation,
              std::int64_t tokens,
              const std::string& request_id);
  bool FlushBills();
  // Writes bills, then counters. `closing` closes the holder.
  bool Flush(bool closing = false);

  // Requests a loan of what is missing to `tokens` of `budget` from another
  // host.
  void RequestLoan(const TestHost& from,
                   const std::string& budget,
                   std::int64_t tokens);
  // Returns the loan requests and reports that are due.
  std::vector<OutgoingLoanRequest> DueLoanRequests();
  // Runs the sync rounds that borrowers' requests need; returns the responses.
  std::vector<OutgoingLoanResponse> DrawForBorrowers();
  // The same in steps: StartLenderRound starts a round for the first bucket
  // that needs one, FinishLenderRound returns the responses once Step has ended
  // it.
  void StartLenderRound();
  std::vector<OutgoingLoanResponse> FinishLenderRound();
  // Exchanges loan requests, reports and responses with `from` without loss.
  void Exchange(TestHost& from);
  // Runs RequestLoan and Exchange. True if `tokens` of the lender can be
  // reserved afterwards.
  bool Borrow(TestHost& from, const std::string& budget, std::int64_t tokens);
  // Runs a round of HolderClosing. `ends_itself` records the end of this host's
  // holder.
  HolderClosingResult RunClosingRound(bool ends_itself = false);
  std::string address() const { return "at-" + ledger.holder(); }

  HostLedger ledger;
  Lender lender;
  Borrower borrower;
  // Whether the host lends; must be set before the first round.
  bool lends = false;
  MonotonicTime now;
  std::string domain;
  double rate = 0;

 private:
  BucketSync& SyncOf(std::uint64_t bucket);

  FakePlatform& platform_;
  const TestBudgets& budgets_;
  std::map<std::uint64_t, std::unique_ptr<BucketSync>> syncs_;
  BucketSync* sync_ = nullptr;
  // State of the last lender round.
  BucketSync* lender_sync_ = nullptr;
  std::uint64_t lender_bucket_ = 0;
  std::optional<PlatformAnswer> answer_;
  int next_request_ = 0;
  HolderClosing closing_;
};

// A budget as stored on the platform, summed over all domains.
struct PlatformFigures {
  std::int64_t paid = 0;
  std::int64_t spent = 0;
  std::int64_t outstanding = 0;
  std::int64_t free = 0;
};
PlatformFigures FiguresOf(const FakePlatform& platform,
                          const std::string& budget);

// Number of bills in all segments, by request id.
std::map<std::string, int> BilledRequests(const FakePlatform& platform);

// Does the same as `winch budget release`. Returns the borrowers that the
// release waits for.
std::set<std::string> Release(FakePlatform& platform,
                              const std::string& domain,
                              const std::string& holder);

}  // namespace turmericwinch

#endif  // TESTS_BUDGET_TEST_HOST_H_
