// How many tokens to draw at a time.

#ifndef SRC_LIBS_BUDGET_GRANT_PLANNER_H_
#define SRC_LIBS_BUDGET_GRANT_PLANNER_H_

#include <cstdint>

#include "libs/budget/budget_account.h"

namespace turmericwinch {

// What is known when a host wants tokens of a budget. Tokens; rates in tokens
// a second.
struct GrantDemand {
  // Waiting requests need this much at once.
  std::int64_t needed = 0;
  // Demand at this host, averaged.
  double host_rate = 0;
  // Hosts of the domain that share it.
  int hosts = 1;
  // Free tokens that the draw may come from.
  std::int64_t free = 0;
  // Share of the free tokens that may be drawn ahead of need, 1..100.
  int reserve_percent = 50;
};

// Tokens to grant to a host out of the domain's free tokens. At least
// `needed` if that much is free; beyond it, the demand of kGrantHorizon but no
// more than a fair share, so that draws shrink as the budget ends.
std::int64_t PlanGrant(const GrantDemand& demand);

// Tokens to allocate to a domain out of the account's free tokens, by the same
// rule over kAllocationHorizon. `hosts` is then the number of domains.
std::int64_t PlanAllocation(const GrantDemand& demand);

// Tokens to grant to a lender that has `available`: beyond what is needed, it
// keeps a stock for kStockHorizon of its borrowers' demand, `host_rate`.
// `demand.hosts` is the number of domains, `demand.free` what the domain and
// the account have. The stock is small once the budget is scarce.
std::int64_t PlanStock(const GrantDemand& demand,
                       const BudgetAccount& account,
                       std::int64_t available);

// Whether little of a budget is left that no domain holds.
bool IsScarce(const BudgetAccount& account);
// Whether it may have become so since the account was last read.
bool IsNearlyScarce(const BudgetAccount& account);
// Tokens that the hosts of one domain may then have in stock.
std::int64_t ScarceStock(const BudgetAccount& account);

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_GRANT_PLANNER_H_
