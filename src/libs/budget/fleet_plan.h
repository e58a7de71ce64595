// How many tokens a host draws from the fleet's account, opens and gives back.
// Free of clocks and I/O.

#ifndef SRC_LIBS_BUDGET_FLEET_PLAN_H_
#define SRC_LIBS_BUDGET_FLEET_PLAN_H_

#include <cstdint>
#include <string>

#include "libs/budget/fleet_account.h"

namespace turmericwinch {

// Time of demand that a host holds: hosts are cut off from the store for up to
// 9 s, and demand is uneven.
inline constexpr double kFleetStockSeconds = 13;
// Requests of the usual size that the stock covers at least.
inline constexpr double kFleetStockRequests = 3;
// Time of demand that a host has open: it must last through the first
// kOpenAllDelay of a cut.
inline constexpr double kFleetOpenSeconds = 5;
// Requests of the usual size that are open at least.
inline constexpr double kFleetOpenRequests = 2;
// Share of the unspent tokens that all hosts together hold at most: the rest is
// for hosts that run short, and is what is left if all lose power at once.
inline constexpr double kFleetStockShare = 0.45;
// Part of a usual request's cost that is not worth a write to give back.
inline constexpr double kFleetMinReturnShare = 0.1;
// Cost that a request is taken to have before the first, as a share of what was
// paid.
inline constexpr double kFleetInitialCostShare = 0.002;
// Demand that each host is taken to have had before the first request, as a
// share of what was paid.
inline constexpr double kFleetInitialDemandShare = 0.01;
// A host acts once what it has is below this share of what it should have.
inline constexpr double kFleetLowShare = 0.5;
// Once less than this share of the unspent tokens is free, a host gives back
// what is above this many times its stock.
inline constexpr double kFleetScarceShare = 0.15;
inline constexpr double kFleetHighFactor = 1.5;
// Open tokens above this many times what should be open are closed again, as
// after a cut.
inline constexpr double kFleetOpenHighFactor = 3;
// Time after which a host that holds unopened tokens renews its mark: a process
// that was killed is back within seconds and reclaims them if the mark is
// fresh.
inline constexpr std::chrono::milliseconds kFleetHeartbeatInterval{800};
// Hosts that are taken to share a budget at least, until their rows show how
// many there are; today's fleets have 8 or 9.
inline constexpr int kFleetMinHosts = 8;

// One budget as a host sees it. Tokens; `rate` is in tokens a second.
struct FleetDemand {
  // Not spent by any host, as far as the account shows; negative after the
  // bound was lowered below what was spent.
  std::int64_t unspent = 0;
  // Held by no host, by the account as last read; negative after the bound was
  // lowered below what is held.
  std::int64_t free = 0;
  // Open at this host, and neither spent nor reserved.
  std::int64_t available = 0;
  // Held by this host and not open.
  std::int64_t unopened = 0;
  // For all requests that wait for a grant.
  std::int64_t needed = 0;
  // Part of the team's demand that comes to this host, 0 to 1.
  double demand_share = 0;
  double rate = 0;
  // Usual cost of a request.
  double request_cost = 0;
};

// What a host does about one budget.
struct FleetDraw {
  // Tokens to hold beyond those that are held.
  std::int64_t draw = 0;
  // Tokens to open beyond those that are open.
  std::int64_t open = 0;
  // Unopened tokens to give back.
  std::int64_t give_back = 0;
  // Open tokens that may stay available; what is above is given back.
  std::int64_t keep_open = 0;
  // Whether the account should be written now.
  bool is_due = false;
};

// Plans for one budget. Answers the load of hosts that are cut off together for
// seconds, or killed, while teams go on sending: the stock covers a cut while
// the budget is full, and shrinks as it ends. The last tokens of a budget are
// not scattered over the hosts in parts that cover no request; they are drawn
// for each request.
FleetDraw PlanFleetDraw(const FleetDemand& demand);

// Part of the budget's demand that came to `holder`, by what the rows have
// opened. `paid` scales the prior.
double DemandShare(const FleetBudget& budget,
                   const std::string& holder,
                   std::int64_t paid,
                   int hosts);

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_FLEET_PLAN_H_
