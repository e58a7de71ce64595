#include "libs/budget/grant_planner.h"

#include <algorithm>
#include <chrono>

#include "libs/budget/budget_constants.h"

namespace turmericwinch {

namespace {

// What one draw may take ahead of need.
std::int64_t FairShare(const GrantDemand& demand) {
  return static_cast<std::int64_t>(static_cast<double>(demand.free) *
                                   demand.reserve_percent / 100.0 /
                                   std::max(demand.hosts, 1));
}

std::int64_t ScarceTokens(const BudgetAccount& account) {
  return account.Paid() / 100 * kScarcePercent;
}

// Demand of `horizon`, but no more than a fair share of what is free.
std::int64_t Ahead(const GrantDemand& demand, std::chrono::seconds horizon) {
  const double ahead = demand.host_rate * static_cast<double>(horizon.count());
  return std::clamp<std::int64_t>(static_cast<std::int64_t>(ahead), 0,
                                  FairShare(demand));
}

std::int64_t Plan(const GrantDemand& demand, std::chrono::seconds horizon) {
  if (demand.free <= 0)
    return 0;
  return std::min(demand.free, std::max(demand.needed, Ahead(demand, horizon)));
}

}  // namespace

std::int64_t PlanGrant(const GrantDemand& demand) {
  return Plan(demand, kGrantHorizon);
}

std::int64_t PlanAllocation(const GrantDemand& demand) {
  return Plan(demand, kAllocationHorizon);
}

// The share bounds one draw, not the stock: else a stock could never be more
// than a part of what is left, however large the demand. A draw ahead of need
// does not make the budget scarce.
std::int64_t PlanStock(const GrantDemand& demand,
                       const BudgetAccount& account,
                       std::int64_t available) {
  if (demand.free <= 0)
    return 0;
  auto stock = static_cast<std::int64_t>(
      demand.host_rate * static_cast<double>(kStockHorizon.count()));
  std::int64_t most = FairShare(demand);
  if (IsScarce(account))
    stock = std::min(stock, ScarceStock(account));
  else
    most = std::min(most, account.Free() - ScarceTokens(account));
  const std::int64_t missing = stock - std::max<std::int64_t>(available, 0);
  return std::min(demand.free,
                  AddSaturated(demand.needed, std::max<std::int64_t>(
                                                  std::min(missing, most), 0)));
}

bool IsScarce(const BudgetAccount& account) {
  return account.Free() < ScarceTokens(account);
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
