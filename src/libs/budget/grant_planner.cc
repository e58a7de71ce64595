#include "libs/budget/grant_planner.h"

#include <algorithm>
#include <chrono>

#include "libs/budget/budget_constants.h"

namespace turmericwinch {

namespace {

// Limit of the tokens that one draw may take ahead of need.
std::int64_t FairShare(const GrantDemand& demand) {
  return static_cast<std::int64_t>(static_cast<double>(demand.free) *
                                   demand.reserve_percent / 100.0 /
                                   std::max(demand.hosts, 1));
}

std::int64_t ScarceThreshold(const BudgetAccount& account) {
  return account.Paid() / 100 * kScarcePercent;
}

// Tokens for the demand of `horizon`, limited to a fair share of the free ones.
std::int64_t TokensForHorizon(const GrantDemand& demand,
                              std::chrono::seconds horizon) {
  const double ahead = demand.host_rate * static_cast<double>(horizon.count());
  return std::clamp<std::int64_t>(static_cast<std::int64_t>(ahead), 0,
                                  FairShare(demand));
}

std::int64_t PlanTokens(const GrantDemand& demand,
                        std::chrono::seconds horizon) {
  if (demand.free <= 0)
    return 0;
  return std::min(demand.free,
                  std::max(demand.needed, TokensForHorizon(demand, horizon)));
}

}  // namespace

std::int64_t PlanGrant(const GrantDemand& demand) {
  return PlanTokens(demand, kGrantHorizon);
}

std::int64_t PlanAllocation(const GrantDemand& demand) {
  return PlanTokens(demand, kAllocationHorizon);
}

// The fair share limits one draw and not the stock. Otherwise a stock could not
// exceed a fraction of the remaining tokens, however large the demand. A draw
// ahead of need never makes the budget scarce.
std::int64_t PlanStock(const GrantDemand& demand,
                       const BudgetAccount& account,
                       std::int64_t available) {
  if (demand.free <= 0)
    return 0;
  auto stock = static_cast<std::int64_t>(
      demand.host_rate * static_cast<double>(kStockHorizon.count()));
  std::int64_t max_draw = FairShare(demand);
  if (IsScarce(account))
    stock = std::min(stock, ScarceStock(account));
  else
    max_draw = std::min(max_draw, account.Free() - ScarceThreshold(account));
  const std::int64_t missing = stock - std::max<std::int64_t>(available, 0);
  return std::min(
      demand.free,
      AddSaturated(demand.needed,
                   std::max<std::int64_t>(std::min(missing, max_draw), 0)));
}

bool IsScarce(const BudgetAccount& account) {
  return account.Free() < ScarceThreshold(account);
}

bool IsNearlyScarce(const BudgetAccount& account) {
  return account.Free() < account.Paid() / 100 * kNearlyScarcePercent;
}

std::int64_t ScarceStock(const BudgetAccount& account) {
  const auto domains = static_cast<std::int64_t>(account.domains.size());
  return account.Paid() / 100 * kScarceStockPercent /
         std::max<std::int64_t>(domains, 1);
}

}  // namespace turmericwinch
