// A host of the fleet in a test: its ledger and the decisions that the daemon
// makes, with the calls made on a FakePlatform one at a time.

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

// The configured budgets, shared by all hosts of a test.
using TestBudgets = std::map<std::string, BudgetSetting>;

class TestHost {
 public:
  TestHost(FakePlatform& platform,
           const TestBudgets& budgets,
           std::string domain,
           std::string holder);

  // Starts a turn for `budget`; Step makes its next call, or takes the answer
  // of the last one. False once the turn is over.
  void StartRound(const std::string& budget,
                  std::int64_t tokens,
                  bool closing = false,
                  bool refresh = false);
  bool Step();
  bool busy() const { return sync_ != nullptr; }

  // A whole turn at once.
  SyncResult Draw(const std::string& budget, std::int64_t tokens);
  // Reserves, after a draw if need be, and settles.
  bool Spend(const std::string& budget, std::int64_t tokens);
  bool Settle(std::uint64_t reservation,
              std::int64_t tokens,
              const std::string& request_id);
  bool FlushBills();
  // Bills, then counters. `closing` ends the holder.
  bool Flush(bool closing = false);

  // Wants `tokens` of `budget` in one piece from another host.
  void RequestLoan(const TestHost& from,
                   const std::string& budget,
                   std::int64_t tokens);
  // Asks and reports that are due.
  std::vector<OutgoingLoanRequest> DueLoanRequests();
  // Draws and lists for what borrowers asked; answers what they get.
  std::vector<OutgoingLoanResponse> DrawForBorrowers();
  // The same in steps: starts a turn for the first bucket that needs one, and
  // answers once Step has ended it.
  void StartLenderRound();
  std::vector<OutgoingLoanResponse> FinishLenderRound();
  // Asks, reports and answers, none of them lost.
  void Exchange(TestHost& from);
  // RequestLoan and Exchange. True if the lender's tokens suffice then.
  bool Borrow(TestHost& from, const std::string& budget, std::int64_t tokens);
  // A turn of HolderClosing.
  HolderClosingResult RunClosingRound(bool ends_itself = false);
  std::string address() const { return "at-" + ledger.holder(); }

  HostLedger ledger;
  Lender lender;
  Borrower borrower;
  // Whether it lends; set before the first turn.
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
  // Of the last lender's turn.
  BucketSync* lender_sync_ = nullptr;
  std::uint64_t lender_bucket_ = 0;
  std::optional<PlatformAnswer> answer_;
  int next_request_ = 0;
  HolderClosing closing_;
};

// What the platform holds of a budget, over all domains.
struct PlatformFigures {
  std::int64_t paid = 0;
  std::int64_t spent = 0;
  std::int64_t outstanding = 0;
  std::int64_t free = 0;
};
PlatformFigures FiguresOf(const FakePlatform& platform,
                          const std::string& budget);

// Bills in all segments, by request id.
std::map<std::string, int> BilledRequests(const FakePlatform& platform);

// What `winch budget release` does. Answers the borrowers it waits for.
std::set<std::string> Release(FakePlatform& platform,
                              const std::string& domain,
                              const std::string& holder);

}  // namespace turmericwinch

#endif  // TESTS_BUDGET_TEST_HOST_H_
