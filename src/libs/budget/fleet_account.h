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
// Time of demand that a host keeps in stock: it may be cut off from the store
// for that long (the standard days cut hosts off for 7 to 9 s).
inline constexpr double kFleetStockSeconds = 10;
// Share of the free tokens that all hosts together keep in stock before their
// demand is known.
inline constexpr double kFleetFirstShare = 0.25;
// Share of the free tokens that all hosts together have in stock at most, so
// that a budget near its end is not stranded in stocks.
inline constexpr double kFleetMostShare = 0.8;
// A host draws again once its stock is below this share of what it should be.
inline constexpr double kFleetLowShare = 0.5;
// A host gives back what is above this many times its stock.
inline constexpr double kFleetHighFactor = 3;

// One budget as a host sees it. Tokens; `rate` is in tokens a second. `paid` is
// what the team bought in all, by the newest configuration that the host knows.
struct FleetDemand {
  std::int64_t paid = 0;
  // Not granted to any host, by the account as last read; may be negative after
  // `paid` was lowered.
  std::int64_t free = 0;
  // Granted to this host and neither spent nor reserved.
  std::int64_t available = 0;
  // For all requests that wait for a grant.
  std::int64_t needed = 0;
  double rate = 0;
  // Hosts that share the budget.
  int hosts = 1;
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

// Plans the draw for one budget. The stock is small while the budget is nearly
// used up, and covers a cut while it is not.
FleetDraw PlanFleetDraw(const FleetDemand& demand);

// Different hosts with a row in the account. Holders are named HOST_INCARNATION.
int HostsOf(const DomainShard& account);

// Charges everything that was granted to earlier incarnations of `holder`'s
// host to the budget and removes their rows: what they spent is not known.
// Right once they have ended, as the start of `holder` shows for a host that
// runs one process.
void ChargeEarlierIncarnations(DomainShard& account, const std::string& holder);

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_FLEET_ACCOUNT_H_
