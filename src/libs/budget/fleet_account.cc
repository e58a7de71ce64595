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
  const double unspent =
      std::max(static_cast<double>(demand.unspent), 0.0);
  const double wished = std::max(demand.rate * kFleetStockSeconds,
                                 demand.request * kFleetStockRequests);
  const double stock =
      std::min(wished, unspent * kFleetStockShare * demand.part);
  const auto wanted = static_cast<std::int64_t>(stock) + demand.needed;
  plan.draw =
      std::clamp<std::int64_t>(wanted - demand.available, 0, demand.free);
  const bool is_low =
      static_cast<double>(demand.available) < stock * kFleetLowShare;
  const bool is_scarce =
      static_cast<double>(demand.free) < unspent * kFleetScarceShare;
  plan.keep = is_scarce ? static_cast<std::int64_t>(stock * kFleetHighFactor) +
                              demand.needed
                        : demand.available;
  plan.is_due = (plan.draw > 0 && (is_low || demand.needed > 0)) ||
                demand.available > plan.keep;
  return plan;
}

double DemandPart(const ShardBudget& budget,
                  const std::string& holder,
                  std::int64_t paid,
                  int hosts) {
  const double prior = static_cast<double>(paid) * kFleetPriorShare;
  double own = prior;
  double all = prior * std::max(hosts, kFleetLeastHosts);
  for (const auto& [name, row] : budget.holders) {
    const auto settled = static_cast<double>(row.settled);
    all += settled;
    if (name == holder)
      own += settled;
  }
  return all > 0 ? own / all : 0;
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
