#include "libs/budget/fleet_account.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <vector>

namespace turmericwinch {

namespace {

std::string_view HostOf(std::string_view holder) {
  return holder.substr(0, holder.rfind('_'));
}

}  // namespace

FleetDraw PlanFleetDraw(const FleetDemand& demand) {
  FleetDraw plan;
  // The bound was lowered below what is granted: everything unused goes back.
  if (demand.free < 0) {
    plan.is_due = demand.available > 0;
    return plan;
  }
  const auto hosts = static_cast<double>(std::max(demand.hosts, 1));
  const double within = static_cast<double>(demand.free + demand.available);
  const double stock = std::min(
      std::max(demand.rate * kFleetStockSeconds,
               within * kFleetFirstShare / hosts),
      within * kFleetMostShare / hosts);
  const auto wanted = static_cast<std::int64_t>(stock) + demand.needed;
  plan.keep = static_cast<std::int64_t>(stock * kFleetHighFactor);
  plan.draw = std::clamp<std::int64_t>(wanted - demand.available, 0, demand.free);
  const bool is_low =
      static_cast<double>(demand.available) < stock * kFleetLowShare;
  plan.is_due = (plan.draw > 0 && (is_low || demand.needed > 0)) ||
                demand.available > plan.keep + demand.needed;
  return plan;
}

int HostsOf(const DomainShard& account) {
  std::set<std::string_view> hosts;
  for (const auto& [name, budget] : account.budgets) {
    for (const auto& [holder, row] : budget.holders)
      hosts.insert(HostOf(holder));
  }
  return static_cast<int>(hosts.size());
}

void ChargeEarlierIncarnations(DomainShard& account,
                               const std::string& holder) {
  for (auto& [name, budget] : account.budgets) {
    std::vector<std::string> ended;
    for (const auto& [other, row] : budget.holders) {
      if (other != holder && HostOf(other) == HostOf(holder))
        ended.push_back(other);
    }
    for (const std::string& it : ended) {
      HolderCounters& row = budget.holders[it];
      row.settled = row.granted - row.given_back;
      CloseHolder(budget, it);
    }
  }
}

}  // namespace turmericwinch
