// One account that all hosts of a fleet draw on, without a shard for each
// failure domain. Free of clocks and I/O.

#ifndef SRC_LIBS_BUDGET_FLEET_ACCOUNT_H_
#define SRC_LIBS_BUDGET_FLEET_ACCOUNT_H_

#include <cstdint>
#include <string>

#include "libs/budget/domain_shard.h"

namespace turmericwinch {

// Name of the account's object.
inline constexpr char kFleetAccountName[] = "fleet-account";
// Time of demand that a host keeps in stock: hosts are cut off from the store
// for up to 9 s, and demand is uneven.
inline constexpr double kFleetStockSeconds = 15;
// Requests of the usual size that the stock covers at least.
inline constexpr double kFleetStockRequests = 2;
// Share of the unspent tokens that all hosts together keep in stock at most:
// the rest is for hosts that run short, and is what is left if all hosts are
// killed at once.
inline constexpr double kFleetStockShare = 0.7;
// Demand that each host is taken to have had before the first request, as a
// share of what was paid.
inline constexpr double kFleetPriorShare = 0.01;
// A host draws again once its stock is below this share of what it should be.
inline constexpr double kFleetLowShare = 0.5;
// Once less than this share of the unspent tokens is free, a host gives back
// what is above this many times its stock.
inline constexpr double kFleetScarceShare = 0.15;
inline constexpr double kFleetHighFactor = 1.5;
// Hosts that are taken to share a budget at least, until their rows show how
// many there are; today's fleets have 8 or 9.
inline constexpr int kFleetLeastHosts = 8;

// One budget as a host sees it. Tokens; `rate` is in tokens a second.
struct FleetDemand {
  // Not spent by any host, as far as the hosts have reported it; negative after
  // the bound was lowered below what was spent.
  std::int64_t unspent = 0;
  // Not granted to any host, by the account as last read; negative after the
  // bound was lowered below what is granted.
  std::int64_t free = 0;
  // Granted to this host and neither spent nor reserved.
  std::int64_t available = 0;
  // For all requests that wait for a grant.
  std::int64_t needed = 0;
  // Part of the team's demand that comes to this host, 0 to 1.
  double part = 0;
  double rate = 0;
  // Usual cost of a request.
  double request = 0;
};

// What a host does about one budget.
struct FleetDraw {
  // Tokens to ask for beyond what is granted.
  std::int64_t draw = 0;
  // Tokens to keep available; what is above goes back.
  std::int64_t keep = 0;
  // Whether the account should be written now.
  bool is_due = false;
};

// Plans the draw for one budget. Answers the load of hosts that are cut off
// together for seconds while teams go on sending: the stock covers such a cut
// while the budget is full, and shrinks as it ends.
FleetDraw PlanFleetDraw(const FleetDemand& demand);

// Part of the budget's demand that came to `holder`, by what the rows have
// settled. `paid` scales the prior.
double DemandPart(const ShardBudget& budget,
                  const std::string& holder,
                  std::int64_t paid,
                  int hosts);

// Different hosts with a row in the account. Holders are named HOST_INCARNATION.
int HostsOf(const DomainShard& account);

// Charges everything that was granted to earlier incarnations of `holder`'s
// host to the budget and removes their rows: what they spent is not known.
// Right once they have ended, as the start of `holder` shows for a host that
// runs one process.
void ChargeEarlierIncarnations(DomainShard& account, const std::string& holder);

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_FLEET_ACCOUNT_H_
