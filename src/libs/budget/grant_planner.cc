#include "libs/budget/grant_planner.h"

#include <algorithm>
#include <chrono>

#include "libs/budget/budget_constants.h"

namespace turmericwinch {

namespace {

std::int64_t Plan(const GrantDemand& demand, std::chrono::seconds horizon) {
  if (demand.free <= 0)
    return 0;
  const double ahead = demand.host_rate * static_cast<double>(horizon.count());
  const double fair_share = static_cast<double>(demand.free) *
                            demand.reserve_percent / 100.0 /
                            std::max(demand.hosts, 1);
  const auto extra =
      static_cast<std::int64_t>(std::max(0.0, std::min(ahead, fair_share)));
  return std::min(demand.free, std::max(demand.needed, extra));
}

}  // namespace

std::int64_t PlanGrant(const GrantDemand& demand) {
  return Plan(demand, kGrantHorizon);
}

std::int64_t PlanAllocation(const GrantDemand& demand) {
  return Plan(demand, kAllocationHorizon);
}

}  // namespace turmericwinch
