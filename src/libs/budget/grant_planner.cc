#include "libs/budget/grant_planner.h"

#include <algorithm>
#include <chrono>

#include "libs/budget/budget_constants.h"

namespace turmericwinch {

namespace {

// Demand of `horizon`, but no more than a fair share of what is free.
std::int64_t Ahead(const GrantDemand& demand, std::chrono::seconds horizon) {
  const double ahead = demand.host_rate * static_cast<double>(horizon.count());
  const double fair_share = static_cast<double>(demand.free) *
                            demand.reserve_percent / 100.0 /
                            std::max(demand.hosts, 1);
  return static_cast<std::int64_t>(std::max(0.0, std::min(ahead, fair_share)));
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

std::int64_t PlanStock(const GrantDemand& demand,
                       const BudgetAccount& account,
                       std::int64_t available) {
  if (demand.free <= 0)
    return 0;
  std::int64_t stock = Ahead(demand, kStockHorizon);
  if (IsScarce(account))
    stock = std::min(stock, ScarceStock(account));
  const std::int64_t missing = stock - std::max<std::int64_t>(available, 0);
  return std::min(
      demand.free,
      AddSaturated(demand.needed, std::max<std::int64_t>(missing, 0)));
}

bool IsScarce(const BudgetAccount& account) {
  return account.Free() < account.Paid() / 100 * kScarcePercent;
}

std::int64_t ScarceStock(const BudgetAccount& account) {
  const auto domains = static_cast<std::int64_t>(account.domains.size());
  return account.Paid() / 100 * kScarceStockPercent /
         std::max<std::int64_t>(domains, 1);
}

}  // namespace turmericwinch
