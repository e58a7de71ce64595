// Decides how many tokens a host draws from the fleet account, opens and gives
// back. Free of clocks and I/O.

#ifndef SRC_LIBS_BUDGET_FLEET_PLAN_H_
#define SRC_LIBS_BUDGET_FLEET_PLAN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "libs/budget/fleet_account.h"

namespace turmericwinch {

// Seconds of demand that a host's stock covers. Outages of the store last up to
// 9 s, and demand is uneven.
inline constexpr double kFleetStockSeconds = 13;
// Minimum stock for each host served, in requests of the usual cost.
inline constexpr double kFleetStockRequests = 3;
// Seconds of demand that a host's open tokens cover. They must last for the
// first kOpenAllDelay of an outage of the store.
inline constexpr double kFleetOpenSeconds = 5;
// Minimum of open tokens for each host served, in requests of the usual cost.
inline constexpr double kFleetOpenRequests = 2;
// Maximum share of the unspent tokens that all hosts together hold. The rest
// serves hosts that run short, and is not lost if all hosts lose power at once.
inline constexpr double kFleetStockShare = 0.45;
// Surplus that is too small to give back, as a share of a request's usual cost:
// it is not worth a write.
inline constexpr double kFleetMinReturnShare = 0.1;
// Assumed cost of a request before the first one was settled, as a share of the
// paid tokens.
inline constexpr double kFleetInitialCostShare = 0.002;
// Assumed past demand of each host before its first request, as a share of the
// paid tokens.
inline constexpr double kFleetInitialDemandShare = 0.01;
// A host refills its stock or its open tokens once they are below this share of
// their target amount.
inline constexpr double kFleetLowShare = 0.5;
// Once less than kFleetScarceShare of the unspent tokens is free, a host gives
// back the tokens above kFleetHighFactor times its target stock.
inline constexpr double kFleetScarceShare = 0.15;
inline constexpr double kFleetHighFactor = 1.5;
// Open tokens above this multiple of their target amount are given back. That
// happens after an outage, in which the host opened all its tokens.
inline constexpr double kFleetOpenHighFactor = 3;
// Time after which a host that holds unopened tokens renews its heartbeat. A
// killed process restarts within seconds and, if the heartbeat is recent,
// reclaims the unopened tokens.
inline constexpr std::chrono::milliseconds kFleetHeartbeatInterval{800};
// Minimum number of hosts assumed to share a budget while not all of them have
// rows in the account; fleets have 8 or 9 hosts.
inline constexpr int kFleetMinHosts = 8;

// The state of one budget as seen by one host. All values are tokens except
// `demand_share` and `rate`.
struct FleetDemand {
  // Not spent by any host according to the account. Negative after the paid
  // amount was lowered below the spent tokens.
  std::int64_t unspent = 0;
  // Held by no host according to the account as last read. Negative after the
  // paid amount was lowered below the held tokens.
  std::int64_t free = 0;
  // Open at this host and neither spent nor reserved.
  std::int64_t available = 0;
  // Held by this host but not open.
  std::int64_t unopened = 0;
  // Needed for those of the requests that wait for a grant that the tokens of
  // this host and the free ones cover.
  std::int64_t needed = 0;
  // This host's share of the team's demand, from 0 to 1.
  double demand_share = 0;
  // Tokens per second.
  double rate = 0;
  // Usual cost of a request.
  double request_cost = 0;
  // Whether this host keeps a stock. Otherwise it draws only what is needed and
  // gives back the rest.
  bool keeps_stock = true;
  // Hosts whose requests the stock serves, this one included.
  std::size_t hosts_served = 1;
};

// What a host should do for one budget.
struct FleetDraw {
  // Tokens to draw in addition to those held.
  std::int64_t draw = 0;
  // Tokens to open in addition to those open.
  std::int64_t open = 0;
  // Unopened tokens to give back.
  std::int64_t give_back = 0;
  // Maximum of available open tokens; the rest is given back.
  std::int64_t keep_open = 0;
  // Whether the account should be written now.
  bool is_due = false;
};

// Plans the next write for one budget. Hosts may lose the store together for
// seconds, or be killed, while teams go on sending requests. While a budget has
// plenty of tokens, the stock of each host covers such an outage; the stock
// shrinks as the budget is used up. The last tokens of a budget are drawn per
// request, because stocks too small for a single request would be of no use.
FleetDraw PlanFleetDraw(const FleetDemand& demand);

// Tokens for those of the requests with `sizes` that `limit` tokens cover
// together, the smallest first. A request that is larger than what a host can
// get must not make it draw tokens that other hosts can use.
std::int64_t CoveredTokens(std::vector<std::int64_t> sizes, std::int64_t limit);

// The share of a budget's demand that came to `holder`, estimated from the
// opened tokens of all rows. `paid` scales the demand assumed for each host
// before its first request.
double DemandShare(const FleetBudget& budget,
                   const std::string& holder,
                   std::int64_t paid,
                   int hosts);

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_FLEET_PLAN_H_
