// Data of HostLedger, internal to the library.

#ifndef SRC_LIBS_BUDGET_HOST_LEDGER_PRIVATE_H_
#define SRC_LIBS_BUDGET_HOST_LEDGER_PRIVATE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include "libs/budget/budget_account.h"
#include "libs/budget/host_ledger.h"
#include "libs/budget/ledger_budget.h"

namespace turmericwinch {

// `lender` is empty for a reservation on the own row.
struct OpenReservation {
  std::string budget;
  std::string lender;
  std::int64_t tokens = 0;
};

class HostLedger::Private {
 public:
  explicit Private(std::string holder) : holder(std::move(holder)) {}

  void MarkDirty(const std::string& name) {
    dirty[BucketOf(name)].insert(name);
  }
  void ReturnLoan(const std::string& name, const std::string& lender);
  void ReturnLoans(const std::string& name);
  // The lender that has `tokens`, empty for the own row; nothing if no source
  // has enough.
  std::optional<std::string> FindSource(const std::string& name,
                                        std::int64_t tokens) const;
  const LedgerLoan* LoanAt(const std::string& lender,
                           const std::string& name) const;

  std::string holder;
  std::unordered_map<std::string, LedgerBudget> budgets;
  std::unordered_map<std::uint64_t, OpenReservation> reservations;
  // Budgets with counters that the platform does not have yet, by bucket.
  std::map<std::uint64_t, std::set<std::string>> dirty;
  // Budgets for which the platform confirmed a grant, by bucket.
  std::map<std::uint64_t, std::set<std::string>> confirmed_budgets;
  std::set<std::string> requested_budgets;
  // By lender: the budgets with loans, and those with totals that the lender
  // has not confirmed. `closed_lenders` are the lenders that are no longer
  // used.
  std::map<std::string, std::set<std::string>> loans;
  std::map<std::string, std::set<std::string>> unreported;
  std::set<std::string> closed_lenders;
  std::deque<Bill> bills;
  std::uint64_t next_reservation = 1;
  std::uint64_t next_sequence = 1;
  std::int64_t overrun_tokens = 0;
  bool fenced = false;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_HOST_LEDGER_PRIVATE_H_
