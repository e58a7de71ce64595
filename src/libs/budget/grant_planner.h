// Computes how many tokens to draw at a time.

#ifndef SRC_LIBS_BUDGET_GRANT_PLANNER_H_
#define SRC_LIBS_BUDGET_GRANT_PLANNER_H_

#include <cstdint>

#include "libs/budget/budget_account.h"

namespace turmericwinch {

// Input for planning a draw. Amounts are in tokens, rates in tokens per second.
struct GrantDemand {
  // Tokens that waiting requests need now.
  std::int64_t needed = 0;
  // Average demand at this host.
  double host_rate = 0;
  // Hosts, or domains, that share the free tokens.
  int hosts = 1;
  // Free tokens that can be drawn.
  std::int64_t free = 0;
  // Percentage of the free tokens that all sharers together may draw ahead of
  // need, 1..100.
  int reserve_percent = 50;
};

// Tokens to grant to a host out of the domain's free tokens. At least `needed`
// if that many are free. More are granted for the demand of kGrantHorizon, up
// to a fair share of the free tokens, so that draws shrink as the budget runs
// out.
std::int64_t PlanGrant(const GrantDemand& demand);

// Tokens to allocate to a domain out of the account's free tokens, by the same
// rule over kAllocationHorizon. `demand.hosts` is the number of domains here.
std::int64_t PlanAllocation(const GrantDemand& demand);

// Tokens to grant to a lender that has `available` tokens: what is needed, and
// a stock for kStockHorizon of its borrowers' demand, `demand.host_rate`.
// `demand.hosts` is the number of domains here, `demand.free` the free tokens
// of the domain and the account. The stock is limited once the budget is
// scarce.
std::int64_t PlanStock(const GrantDemand& demand,
                       const BudgetAccount& account,
                       std::int64_t available);

// Whether few of a budget's tokens are not allocated to a domain.
bool IsScarce(const BudgetAccount& account);
// Whether the budget may have become scarce since the account was last read.
bool IsNearlyScarce(const BudgetAccount& account);
// Stock that the lenders of one domain may hold of a scarce budget.
std::int64_t ScarceStock(const BudgetAccount& account);

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_GRANT_PLANNER_H_
