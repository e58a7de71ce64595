// Joins what two histories of the fleet account say. Free of clocks and I/O.

#ifndef SRC_LIBS_BUDGET_FLEET_ACCOUNT_MERGE_H_
#define SRC_LIBS_BUDGET_FLEET_ACCOUNT_MERGE_H_

#include "libs/budget/fleet_account.h"

namespace turmericwinch {

// Adds to `stored`, the account of a store that came back from an old copy,
// what a host `remembered` of the account before. The newer row of each holder
// counts, and a holder that either side has closed stays closed and is charged
// with whatever was granted to it. In doubt more is charged, never less, as
// long as fewer than kMaxFleetClosings holders were closed between the two.
FleetAccount MergeFleetAccounts(const FleetAccount& stored,
                                const FleetAccount& remembered);

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_FLEET_ACCOUNT_MERGE_H_
