#include "libs/budget/fleet_plan.h"

#include <algorithm>

namespace turmericwinch {

namespace {

bool IsLow(std::int64_t tokens, double target) {
  return static_cast<double>(tokens) < target * kFleetLowShare;
}

}  // namespace

FleetDraw PlanFleetDraw(const FleetDemand& demand) {
  FleetDraw plan;
  // The paid amount was lowered below the held tokens, so this host gives back
  // all unused tokens.
  if (demand.free < 0) {
    plan.give_back = demand.unopened;
    plan.is_due = demand.unopened > 0 || demand.available > 0;
    return plan;
  }
  const double unspent = std::max(static_cast<double>(demand.unspent), 0.0);
  // A stock that does not cover a single request would be of no use.
  const double max_stock = unspent * kFleetStockShare * demand.demand_share;
  const double served_cost =
      demand.request_cost * static_cast<double>(demand.hosts_served);
  const bool is_running_out =
      !demand.keeps_stock || max_stock < demand.request_cost;
  const double stock =
      is_running_out ? 0
                     : std::min(std::max(demand.rate * kFleetStockSeconds,
                                         served_cost * kFleetStockRequests),
                                max_stock);
  const double open = std::min(std::max(demand.rate * kFleetOpenSeconds,
                                        served_cost * kFleetOpenRequests),
                               stock);
  const std::int64_t slack =
      demand.needed +
      static_cast<std::int64_t>(demand.request_cost * kFleetMinReturnShare);
  const std::int64_t held = demand.available + demand.unopened;
  plan.draw = std::clamp<std::int64_t>(
      static_cast<std::int64_t>(stock) + demand.needed - held, 0, demand.free);
  plan.open = std::clamp<std::int64_t>(
      static_cast<std::int64_t>(open) + demand.needed - demand.available, 0,
      demand.unopened + plan.draw);
  plan.keep_open =
      static_cast<std::int64_t>(open * kFleetOpenHighFactor) + slack;
  const bool is_scarce =
      static_cast<double>(demand.free) < unspent * kFleetScarceShare;
  const std::int64_t max_held =
      static_cast<std::int64_t>(stock * kFleetHighFactor) + slack;
  if ((is_running_out || is_scarce) && plan.draw == 0)
    plan.give_back = std::clamp<std::int64_t>(held - max_held, 0,
                                              demand.unopened - plan.open);
  const bool is_draw_due =
      plan.draw > 0 && (IsLow(held, stock) || held < demand.needed);
  const bool is_open_due = plan.open > 0 && (IsLow(demand.available, open) ||
                                             demand.available < demand.needed);
  plan.is_due = is_draw_due || is_open_due || plan.give_back > 0 ||
                demand.available > plan.keep_open;
  return plan;
}

std::int64_t CoveredTokens(std::vector<std::int64_t> sizes,
                           std::int64_t limit) {
  std::sort(sizes.begin(), sizes.end());
  std::int64_t covered = 0;
  for (const std::int64_t it : sizes) {
    if (it > limit - covered)
      break;
    covered += it;
  }
  return covered;
}

double DemandShare(const FleetBudget& budget,
                   const std::string& holder,
                   std::int64_t paid,
                   int hosts) {
  const double prior = static_cast<double>(paid) * kFleetInitialDemandShare;
  double own = prior;
  double all = prior * std::max(hosts, kFleetMinHosts);
  for (const auto& [name, row] : budget.rows) {
    const auto opened = static_cast<double>(row.opened);
    all += opened;
    if (name == holder)
      own += opened;
  }
  return all > 0 ? own / all : 0;
}

}  // namespace turmericwinch
